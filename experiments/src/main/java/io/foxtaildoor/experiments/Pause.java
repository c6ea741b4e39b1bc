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
      throw new IllegalStateException("interrupted", e);
    }
  }

  /**
   * Waits until a condition holds.
   *
   * @param awaitedState the awaited state, for the message of the exception
   * @throws IllegalStateException when the condition does not hold within the limit
   */
  static void until(String awaitedState, Duration timeout, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IllegalStateException(
            "timed out after " + timeout + " while waiting for: " + awaitedState);
      }
      millis(POLL_MILLIS);
    }
  }
}
