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
 * @param callers services that may call it; {@value #ANY_CALLER} admits all
 * @param slots concurrent requests that one instance serves
 * @param connections connections that one instance accepts
 * @param reservedPercent share of the slots that a rank keeps in a flood, in percent
 */
public record Service(
    ServiceId id,
    TeamId team,
    Set<String> callers,
    int slots,
    int connections,
    Map<Rank, Integer> reservedPercent,
    Duration coldStart) {
  /** Admits every caller. */
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

  /** Whether a caller may call the service; an empty name is a caller outside the mesh. */
  public boolean admits(String callerService) {
    return callers.contains(ANY_CALLER) || callers.contains(callerService);
  }
}
