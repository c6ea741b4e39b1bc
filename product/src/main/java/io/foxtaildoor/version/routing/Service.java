package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ReservedShare;
import io.foxtaildoor.protocol.ServiceConfiguration;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;

/**
 * A service and the limits of each of its instances.
 *
 * @param callers ids of the services that may call this one; {@value #ANY_CALLER} allows every
 *     caller
 * @param slots maximum number of concurrent requests of one instance
 * @param connections maximum number of connections to one instance
 * @param reservedPercent share of the slots, in percent, that stays reserved for a rank under
 *     overload
 * @param coldStart time that a new instance needs before it can take its full share of requests
 */
public record Service(
    ServiceId id,
    TeamId team,
    Set<String> callers,
    int slots,
    int connections,
    Map<Rank, Integer> reservedPercent,
    Duration coldStart) {
  /** Value in {@code callers} that allows every caller. */
  public static final String ANY_CALLER = "*";

  static Service of(TeamId team, ServiceConfiguration configuration) {
    Map<Rank, Integer> reserved = new EnumMap<>(Rank.class);
    for (ReservedShare share : configuration.getReservedSharesList()) {
      reserved.put(Rank.of(share.getRankValue()), share.getPercent());
    }
    return new Service(
        new ServiceId(configuration.getId()),
        team,
        Set.copyOf(configuration.getCallersList()),
        configuration.getSlots(),
        configuration.getConnections(),
        Map.copyOf(reserved),
        Duration.ofMillis(configuration.getColdStartMillis()));
  }

  /**
   * Returns whether a caller may call the service; an empty name means a caller outside the mesh.
   */
  public boolean admits(String callerService) {
    return callers.contains(ANY_CALLER) || callers.contains(callerService);
  }
}
