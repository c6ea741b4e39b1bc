package io.foxtaildoor.connection.link;

import java.time.Duration;

/** Exponential growth of the wait between connection attempts. */
final class Backoff {
  /** Doublings after which the ceiling is the maximum anyway; avoids overflow of the shift. */
  private static final int MAX_DOUBLINGS = 20;

  private Backoff() {}

  static long ceilingNanos(Duration base, Duration max, int failures) {
    long grown = base.toNanos() << Math.min(failures, MAX_DOUBLINGS);
    return Math.min(grown, max.toNanos());
  }
}
