package io.foxtaildoor.experiments;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Sleeps, and waits for conditions with a time limit. */
final class Pause {
  private static final long POLL_MILLIS = 50;

  private Pause() {}

  static void millis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting", e);
    }
  }

  /**
   * Waits until a condition holds.
   *
   * @param what the awaited state, for the message of the exception
   * @throws IllegalStateException when the condition does not hold within the limit
   */
  static void until(String what, Duration limit, BooleanSupplier condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new IllegalStateException("timed out after " + limit + " while waiting for: " + what);
      }
      millis(POLL_MILLIS);
    }
  }
}
