package io.foxtaildoor.process.load;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Specification of a load run.
 *
 * @param warmUp initial period whose requests are sent but not counted
 * @param duration period after the warm-up whose requests are counted
 * @param seed seed for generating the arrival times
 * @param connectionsPerTarget maximum number of connections to one address, divided among the
 *     streams to it
 * @param allowedAddresses IP addresses that are allowed as targets in addition to loopback
 *     addresses
 */
public record LoadPlan(
    Duration warmUp,
    Duration duration,
    long seed,
    int connectionsPerTarget,
    Set<String> allowedAddresses,
    List<StreamPlan> streams) {
  private static final Duration MAX_TOTAL_TIME = Duration.ofHours(1);
  private static final int MAX_CONNECTIONS = 10_000;

  /**
   * Validates the plan.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the plan is invalid
   */
  public LoadPlan {
    warmUp = warmUp == null ? Duration.ZERO : warmUp;
    allowedAddresses = allowedAddresses == null ? Set.of() : Set.copyOf(allowedAddresses);
    require(streams != null && !streams.isEmpty(), "needs at least one stream");
    streams = List.copyOf(streams);
    require(duration != null && !duration.isNegative() && !duration.isZero(), "needs a duration");
    require(!warmUp.isNegative(), "warmUp must not be negative");
    require(warmUp.plus(duration).compareTo(MAX_TOTAL_TIME) <= 0, "must end within one hour");
    require(connectionsPerTarget > 0, "connectionsPerTarget must be positive");
    require(connectionsPerTarget <= MAX_CONNECTIONS, "connectionsPerTarget must be at most 10000");
    Set<String> names = new HashSet<>();
    for (StreamPlan stream : streams) {
      require(names.add(stream.name()), "has two streams named " + stream.name());
    }
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "load plan " + message);
    }
  }
}
