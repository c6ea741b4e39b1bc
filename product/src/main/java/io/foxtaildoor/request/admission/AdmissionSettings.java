package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of the admission to one upstream.
 *
 * @param maxQueuedPerRank waiting requests of one rank; each holds at most one window of its body,
 *     so that 256 of 64 KiB in each of four ranks stay within 64 MiB
 * @param shareWindow time constant of the decaying window in which slot time is counted
 * @param shedFactor factor on the limit when the upstream sheds load
 * @param slowFactor factor on the limit when the latency grows
 * @param slowRatio latency relative to its long-term mean that counts as growth
 * @param maxLateWait longest wait that a request is queued for once it cannot meet its objective
 *     any more; such a request runs only while no other one waits
 * @param reservesHeadroom whether a request starts only while enough slots stay free for what calls
 *     of higher ranks used recently
 * @param defaultReservedPercent share of the slot time that ranks keep, in percent, for a service
 *     that states none
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

  /** Callers that are refused sooner can still be served elsewhere. */
  private static final Duration MAX_LATE_WAIT = Duration.ofMillis(100);

  /** No rank starves, and the most urgent one keeps most of the slots. */
  private static final Map<Rank, Integer> DEFAULT_RESERVED_PERCENT =
      Map.of(Rank.HIGH, 12, Rank.NORMAL, 8, Rank.LOW, 4);

  /** Settings for the deployments described in the design page. */
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
   * These settings for an upstream that reports its own capacity: the limit stays at it. A node is
   * the only way to its upstream, so what the upstream refuses or how slow it is does not tell that
   * too much was sent; and slots are kept free for calls of higher ranks.
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

  /** The same settings with another order. */
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
