package io.foxtaildoor.request.retry;

import java.time.Duration;
import java.util.OptionalLong;

/** Runs of the local upstream in the latest window; safe for use by several threads. */
final class LocalUpstreamRuns {
  /** Time by which a call may outlast the run that makes it, for what is on the way. */
  private static final long DEADLINE_SLACK_NANOS = 100_000_000;

  private final SlidingWindowSum idempotentRuns;
  private final SlidingWindowSum otherRuns;
  private final SlidingWindowSum recentIdempotentRuns;
  private final SlidingWindowSum recentOtherRuns;
  private final SlidingWindowSum recentRepeats;
  private OptionalLong latestDeadlineNanos = OptionalLong.empty();

  LocalUpstreamRuns(Duration window, long nowNanos) {
    Duration part = window.dividedBy(RetryBudget.PACING_INTERVALS);
    idempotentRuns = new SlidingWindowSum(window, nowNanos);
    otherRuns = new SlidingWindowSum(window, nowNanos);
    recentIdempotentRuns = new SlidingWindowSum(part, nowNanos);
    recentOtherRuns = new SlidingWindowSum(part, nowNanos);
    recentRepeats = new SlidingWindowSum(part, nowNanos);
  }

  /**
   * Counts a run.
   *
   * @param repeatShare probability that the run is a repeat
   */
  synchronized void recordEnd(double repeatShare, boolean idempotent, long nowNanos) {
    (idempotent ? idempotentRuns : otherRuns).add(1, nowNanos);
    (idempotent ? recentIdempotentRuns : recentOtherRuns).add(1, nowNanos);
    recentRepeats.add(repeatShare, nowNanos);
  }

  /** Takes the deadline of a run that begins. */
  synchronized void recordStart(long deadlineNanos) {
    long latest = latestDeadlineNanos.orElse(deadlineNanos);
    latestDeadlineNanos = OptionalLong.of(latest - deadlineNanos > 0 ? latest : deadlineNanos);
  }

  /** Whether a run may make a request; calls expire at the deadline of their run at the latest. */
  synchronized boolean mayHaveMadeRequest(long requestDeadlineNanos) {
    return latestDeadlineNanos.isPresent()
        && requestDeadlineNanos - latestDeadlineNanos.getAsLong() <= DEADLINE_SLACK_NANOS;
  }

  /** Part of the latest runs that are repeats, from 0 to 1; calls follow them closely. */
  synchronized double repeatShare(long nowNanos) {
    double repeats = recentRepeats.upperBound(nowNanos);
    double runs = attributedRuns(recentIdempotentRuns, recentOtherRuns, nowNanos);
    return repeats <= 0 ? 0 : Math.min(1, repeats / runs);
  }

  /** Runs of the window that its calls are put down to. */
  synchronized double attributedRuns(long nowNanos) {
    return attributedRuns(idempotentRuns, otherRuns, nowNanos);
  }

  /**
   * Which run makes a call is not known, so all calls are taken to come from the runs that are
   * repeated most: the idempotent ones, if there are any.
   */
  private static double attributedRuns(
      SlidingWindowSum idempotentRuns, SlidingWindowSum otherRuns, long nowNanos) {
    double idempotent = idempotentRuns.upperBound(nowNanos);
    return Math.max(1, idempotent > 0 ? idempotent : otherRuns.upperBound(nowNanos));
  }
}
