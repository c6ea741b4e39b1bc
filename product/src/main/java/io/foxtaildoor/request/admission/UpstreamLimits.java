package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.Map;

/**
 * What the configuration says of one upstream instance.
 *
 * @param slots concurrent requests that it serves; the limit never exceeds it
 * @param reservedPercent share of the slot time that a rank keeps in a flood, in percent
 * @param coldStartNanos time over which the limit grows after the start of the instance
 * @param startedAtNanos start of the instance on the clock of the decisions
 */
public record UpstreamLimits(
    int slots, Map<Rank, Integer> reservedPercent, long coldStartNanos, long startedAtNanos) {

  double reservedShare(Rank rank) {
    return reservedPercent.getOrDefault(rank, 0) / 100.0;
  }
}
