package io.foxtaildoor.process.node;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions with a generous timeout, so that test results do not depend on the speed of
 * the machine.
 */
final class Polling {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final long INTERVAL_MILLIS = 50;

  private Polling() {}

  /** Waits until a condition is met; fails with its description after 60 s. */
  static void await(String condition, BooleanSupplier isMet) {
    long start = System.nanoTime();
    while (!isMet.getAsBoolean()) {
      if (System.nanoTime() - start > TIMEOUT_NANOS) {
        throw new AssertionError("condition not met within 60 s: " + condition);
      }
      pause(INTERVAL_MILLIS);
    }
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
