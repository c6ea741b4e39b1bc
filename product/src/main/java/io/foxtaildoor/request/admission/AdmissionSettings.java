package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of the admission to one upstream.
 *
 * @param maxQueuedPerRank maximum number of waiting requests per rank; each holds at most one
 *     window of its body, so that 256 of 64 KiB in each of four ranks stay within 64 MiB
 * @param shareWindow time constant of the exponentially decaying window in which slot time is
 *     measured
 * @param shedFactor factor applied to the concurrency limit when the upstream sheds load
 * @param slowFactor factor applied to the concurrency limit when the latency grows
 * @param slowRatio ratio of the recent latency to its long-term mean above which the latency counts
 *     as growing
 * @param maxLateWait longest time for which a request is queued once it can no longer meet its
 *     objective; such a request runs only while no other one waits
 * @param reservesHeadroom whether a request starts only while enough slots stay free for the recent
 *     use of calls of higher ranks
 * @param defaultReservedPercent share of the slot time, in percent, that each rank keeps for a
 *     service that configures none
 * @param mode order in which waiting requests start
 */
public record AdmissionSettings(
    int maxQueuedPerRank,
    Duration shareWindow,
    double shedFactor,
    double slowFactor,
    double slowRatio,
    Duration maxLateWait,
    boolean reservesHeadroom,
    Map<Rank, Integer> defaultReservedPercent,
    AdmissionMode mode) {

  /** Kept short because a caller that is refused early can still be served elsewhere. */
  private static final Duration MAX_LATE_WAIT = Duration.ofMillis(100);

  /** Keeps the lower ranks from starving, and leaves most of the slots to the most urgent rank. */
  private static final Map<Rank, Integer> DEFAULT_RESERVED_PERCENT =
      Map.of(Rank.HIGH, 12, Rank.NORMAL, 8, Rank.LOW, 4);

  /** Default settings, for the deployments described on the design page. */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(
        256,
        Duration.ofSeconds(1),
        0.7,
        0.9,
        2.0,
        MAX_LATE_WAIT,
        false,
        Map.of(),
        AdmissionMode.RANKS);
  }

  /**
   * Returns these settings for an upstream that reports its own capacity. The concurrency limit
   * stays at that capacity: a node is the only way to its upstream, so neither refusals nor slow
   * responses of the upstream show that too much was sent. Slots are kept free for calls of higher
   * ranks.
   */
  public AdmissionSettings withReportedCapacity() {
    return new AdmissionSettings(
        maxQueuedPerRank,
        shareWindow,
        1,
        1,
        slowRatio,
        maxLateWait,
        true,
        DEFAULT_RESERVED_PERCENT,
        mode);
  }

  /** Returns these settings with another admission mode. */
  public AdmissionSettings withMode(AdmissionMode other) {
    return new AdmissionSettings(
        maxQueuedPerRank,
        shareWindow,
        shedFactor,
        slowFactor,
        slowRatio,
        maxLateWait,
        reservesHeadroom,
        defaultReservedPercent,
        other);
  }
}
