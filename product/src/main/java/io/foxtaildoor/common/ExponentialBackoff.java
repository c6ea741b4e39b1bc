package io.foxtaildoor.common;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Delays with jitter that double with each failure. Not thread-safe. */
public final class ExponentialBackoff {
  /** Upper bound of the shift, which keeps the delay below the 63 bits of a positive long. */
  private static final int MAX_DOUBLINGS = 20;

  private final long initialNanos;
  private final long maxNanos;
  private int failures;

  /** Creates a back-off whose first delay is at most {@code initial}. */
  public ExponentialBackoff(Duration initial, Duration max) {
    initialNanos = initial.toNanos();
    maxNanos = max.toNanos();
  }

  /**
   * Records a failure and returns the delay before the next attempt in nanoseconds. The delay is
   * uniform between half of the current limit and the limit, so that processes that failed together
   * do not retry together.
   */
  public long recordFailure(RandomGenerator random) {
    long limit = Math.min(maxNanos, initialNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return limit - random.nextLong(limit / 2 + 1);
  }

  /** Whether the last attempt failed. */
  public boolean hasFailed() {
    return failures > 0;
  }

  /** Records a success; the next delay starts from the initial one. */
  public void reset() {
    failures = 0;
  }
}
