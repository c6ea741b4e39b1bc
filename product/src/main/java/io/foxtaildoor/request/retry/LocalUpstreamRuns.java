package io.foxtaildoor.request.retry;

import java.time.Duration;
import java.util.OptionalLong;

/** Runs of requests by the local upstream in a sliding window. Thread-safe. */
final class LocalUpstreamRuns {
  /**
   * Time by which the deadline of a call may exceed the deadline of the run that makes it, to allow
   * for transmission delay.
   */
  private static final long DEADLINE_SLACK_NANOS = 100_000_000;

  private final SlidingWindowSum idempotentRuns;
  private final SlidingWindowSum otherRuns;
  private final SlidingWindowSum recentIdempotentRuns;
  private final SlidingWindowSum recentOtherRuns;
  private final SlidingWindowSum recentRepeats;
  private OptionalLong latestDeadlineNanos = OptionalLong.empty();

  LocalUpstreamRuns(Duration window, long nowNanos) {
    Duration recentWindow = window.dividedBy(RetryBudget.PACING_INTERVALS);
    idempotentRuns = new SlidingWindowSum(window, nowNanos);
    otherRuns = new SlidingWindowSum(window, nowNanos);
    recentIdempotentRuns = new SlidingWindowSum(recentWindow, nowNanos);
    recentOtherRuns = new SlidingWindowSum(recentWindow, nowNanos);
    recentRepeats = new SlidingWindowSum(recentWindow, nowNanos);
  }

  /**
   * Records the end of a run.
   *
   * @param repeatProbability probability that the run is a repeat
   */
  synchronized void recordEnd(double repeatProbability, boolean idempotent, long nowNanos) {
    (idempotent ? idempotentRuns : otherRuns).add(1, nowNanos);
    (idempotent ? recentIdempotentRuns : recentOtherRuns).add(1, nowNanos);
    recentRepeats.add(repeatProbability, nowNanos);
  }

  /** Records the start of a run with its deadline. */
  synchronized void recordStart(long deadlineNanos) {
    long latest = latestDeadlineNanos.orElse(deadlineNanos);
    latestDeadlineNanos = OptionalLong.of(latest - deadlineNanos > 0 ? latest : deadlineNanos);
  }

  /**
   * Whether a run of the local upstream may have made a request. A call expires no later than the
   * deadline of the run that makes it.
   */
  synchronized boolean mayHaveMadeRequest(long requestDeadlineNanos) {
    return latestDeadlineNanos.isPresent()
        && requestDeadlineNanos - latestDeadlineNanos.getAsLong() <= DEADLINE_SLACK_NANOS;
  }

  /**
   * Fraction, from 0 to 1, of the most recent runs that are repeats. Only recent runs count,
   * because the calls of a run follow it closely.
   */
  synchronized double repeatShare(long nowNanos) {
    double repeats = recentRepeats.upperBound(nowNanos);
    double runs = attributedRuns(recentIdempotentRuns, recentOtherRuns, nowNanos);
    return repeats <= 0 ? 0 : Math.min(1, repeats / runs);
  }

  /** Number of runs in the window to which calls are attributed. */
  synchronized double attributedRuns(long nowNanos) {
    return attributedRuns(idempotentRuns, otherRuns, nowNanos);
  }

  /**
   * Number of runs to which calls are attributed. It is not known which run makes a call, so all
   * calls are attributed to the runs that are repeated most: the idempotent ones, if there are any.
   */
  private static double attributedRuns(
      SlidingWindowSum idempotentRuns, SlidingWindowSum otherRuns, long nowNanos) {
    double idempotent = idempotentRuns.upperBound(nowNanos);
    return Math.max(1, idempotent > 0 ? idempotent : otherRuns.upperBound(nowNanos));
  }
}
