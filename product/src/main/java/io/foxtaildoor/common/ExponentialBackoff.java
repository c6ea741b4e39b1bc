package io.foxtaildoor.common;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Delays that double with each failure, with jitter; not safe for use by several threads. */
public final class ExponentialBackoff {
  /** Bounds the shift below the 63 bits of a positive long. */
  private static final int MAX_DOUBLINGS = 20;

  private final long initialNanos;
  private final long maxNanos;
  private int failures;

  /** Creates a back-off whose first delay is at most the initial one. */
  public ExponentialBackoff(Duration initial, Duration max) {
    initialNanos = initial.toNanos();
    maxNanos = max.toNanos();
  }

  /**
   * Counts a failure and gives the delay before the next try in nanoseconds, uniform between half
   * of the present limit and the limit, so that processes that failed together do not retry
   * together.
   */
  public long recordFailure(RandomGenerator random) {
    long limit = Math.min(maxNanos, initialNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return limit - random.nextLong(limit / 2 + 1);
  }

  /** Whether the last try failed. */
  public boolean hasFailed() {
    return failures > 0;
  }

  /** Starts again from the initial delay. */
  public void reset() {
    failures = 0;
  }
}
