package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/**
 * Decides which requests a node refuses before it does any work for them, because its own processor
 * is overloaded. The measure is the delay of a periodic task of the event loop, since requests that
 * wait in the event loop are not visible in the queues. Thread-safe.
 */
public final class EventLoopGuard {
  /**
   * Weight of a new sample in the mean delay; small enough that a single long task does not count
   * as overload.
   */
  private static final double SAMPLE_WEIGHT = 0.25;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Mean delay above which requests that miss their objective anyway are refused. */
  private static final double MISSED_OBJECTIVE_LIMIT_MILLIS = 15;

  /** Mean delay above which requests of the lowest rank are refused. */
  private static final double LOWEST_RANK_LIMIT_MILLIS = 30;

  /**
   * Mean delay above which requests read from a connection may already be abandoned; callers wait
   * for some hundred milliseconds.
   */
  private static final double STALE_INPUT_LIMIT_MILLIS = 100;

  /** Amount by which the limit rises for each rank above the lowest. */
  private static final double LIMIT_STEP_PER_RANK_MILLIS = 15;

  private volatile double meanDelayMillis;

  /**
   * Records one delay of the periodic task.
   *
   * @param delayNanos nanoseconds by which the task ran later than scheduled
   */
  public synchronized void recordDelay(long delayNanos) {
    double sample = Math.max(0, delayNanos) / NANOS_PER_MILLI;
    meanDelayMillis += SAMPLE_WEIGHT * (sample - meanDelayMillis);
  }

  /**
   * Whether a request of a rank must be refused.
   *
   * @param missesObjective whether the request can no longer meet its objective
   */
  @SuppressWarnings("EnumOrdinal") // Ranks are declared in the order of their urgency.
  public boolean shouldRefuse(Rank rank, boolean missesObjective) {
    int ranksAboveLowest = Rank.COUNT - 1 - rank.ordinal();
    double limit =
        missesObjective
            ? MISSED_OBJECTIVE_LIMIT_MILLIS
            : LOWEST_RANK_LIMIT_MILLIS + ranksAboveLowest * LIMIT_STEP_PER_RANK_MILLIS;
    return meanDelayMillis > limit;
  }

  /**
   * Whether a request has probably waited unread until its caller gave up.
   *
   * @param remainingNanos time to the deadline that the caller stated when it sent the request
   */
  public boolean hasProbablyExpired(long remainingNanos) {
    return meanDelayMillis > LOWEST_RANK_LIMIT_MILLIS
        && meanDelayMillis * NANOS_PER_MILLI >= remainingNanos;
  }

  /**
   * Whether the event loop is so late that callers may have abandoned the requests that are read
   * now.
   */
  public boolean mayReadStaleRequests() {
    return meanDelayMillis > STALE_INPUT_LIMIT_MILLIS;
  }

  /** Moving average of the event loop delay, in milliseconds. */
  public double meanDelayMillis() {
    return meanDelayMillis;
  }
}
