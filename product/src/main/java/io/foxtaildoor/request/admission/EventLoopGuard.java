package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/**
 * Decides which requests a node refuses before it does any work for them, because its own processor
 * is behind. The measure is how late a regular task of the event loop runs: what waits there cannot
 * be seen by the queues. Safe for use by several threads.
 */
public final class EventLoopGuard {
  /** Weight of a new sample; a single long task does not count as overload. */
  private static final double SAMPLE_WEIGHT = 0.25;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Mean delay from which requests are refused that miss their objective anyway. */
  private static final double MISSED_OBJECTIVE_LIMIT_MILLIS = 15;

  /** Mean delay from which requests of the lowest rank are refused. */
  private static final double LOWEST_RANK_LIMIT_MILLIS = 30;

  /** Mean delay from which what is read may be too old; callers wait for some hundred ms. */
  private static final double STALE_INPUT_LIMIT_MILLIS = 100;

  /** Further delay for each rank above the lowest. */
  private static final double LIMIT_STEP_PER_RANK_MILLIS = 15;

  private volatile double meanDelayMillis;

  /**
   * Takes a sample.
   *
   * @param delayNanos time by which the task ran later than it should
   */
  public synchronized void recordDelay(long delayNanos) {
    double sample = Math.max(0, delayNanos) / NANOS_PER_MILLI;
    meanDelayMillis += SAMPLE_WEIGHT * (sample - meanDelayMillis);
  }

  /**
   * Whether a request is refused.
   *
   * @param missesObjective whether its answer cannot have its full worth any more
   */
  @SuppressWarnings("EnumOrdinal") // Ranks are declared in the order of their urgency.
  public boolean shouldRefuse(Rank rank, boolean missesObjective) {
    int above = Rank.COUNT - 1 - rank.ordinal();
    double limit =
        missesObjective
            ? MISSED_OBJECTIVE_LIMIT_MILLIS
            : LOWEST_RANK_LIMIT_MILLIS + above * LIMIT_STEP_PER_RANK_MILLIS;
    return meanDelayMillis > limit;
  }

  /**
   * Whether a request has probably waited unread for as long as it may take.
   *
   * @param leftNanos time that its caller gave it when it was sent
   */
  public boolean hasProbablyExpired(long leftNanos) {
    return meanDelayMillis > LOWEST_RANK_LIMIT_MILLIS
        && meanDelayMillis * NANOS_PER_MILLI >= leftNanos;
  }

  /** Whether the event loop runs so late that callers may have left what is read now. */
  public boolean mayReadStaleRequests() {
    return meanDelayMillis > STALE_INPUT_LIMIT_MILLIS;
  }

  /** Mean delay in milliseconds. */
  public double meanDelayMillis() {
    return meanDelayMillis;
  }
}
