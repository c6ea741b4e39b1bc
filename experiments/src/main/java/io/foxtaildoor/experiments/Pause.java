package io.foxtaildoor.experiments;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Bounded waits. */
final class Pause {
  private static final long POLL_MILLIS = 50;

  private Pause() {}

  static void millis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /**
   * Waits until a condition holds.
   *
   * @throws IllegalStateException when it does not within the limit
   */
  static void until(String what, Duration limit, BooleanSupplier condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new IllegalStateException("not within " + limit + ": " + what);
      }
      millis(POLL_MILLIS);
    }
  }
}
