package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.Map;

/**
 * Limits of one upstream instance, from the configuration.
 *
 * @param slots number of requests that the upstream serves concurrently; the adaptive limit never
 *     exceeds it
 * @param reservedPercent share of the slot time, in percent, that a rank keeps when other ranks
 *     flood the upstream
 * @param coldStartNanos time over which the limit grows after the start of the instance
 * @param startedAtNanos start of the instance, on the monotonic clock of the admission queue
 */
public record UpstreamLimits(
    int slots, Map<Rank, Integer> reservedPercent, long coldStartNanos, long startedAtNanos) {

  double reservedShare(Rank rank) {
    return reservedPercent.getOrDefault(rank, 0) / 100.0;
  }
}
