package io.foxtaildoor.request.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public class RetryBudgetTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final long MILLI = 1_000_000;
  private static final double SHARE = 0.1;
  private static final int FLOOR = 28;
  private static final RetrySettings SETTINGS =
      new RetrySettings(3, Duration.ofMillis(2), SHARE, FLOOR, WINDOW, true, true);

  private static RetryBudget budget() {
    return new RetryBudget(WINDOW, 0);
  }

  private static boolean tryAcquire(RetryBudget budget, long nowNanos) {
    return budget.tryAcquire(FLOOR, SETTINGS, nowNanos);
  }

  /**
   * Guards against a budget that, after a time without retries, admits twice its size in one
   * window.
   */
  @Test
  public void retriesNeverExceedBudgetInAnyWindow() {
    RetryBudget budget = budget();
    Deque<Long> retries = new ArrayDeque<>();
    int most = 0;
    for (long millis = 0; millis < 60_000; millis++) {
      long now = millis * MILLI;
      budget.recordRequest(false, 0, now);
      boolean failing = millis >= 30_000;
      while (failing && tryAcquire(budget, now)) {
        retries.addLast(now);
      }
      while (!retries.isEmpty() && now - retries.getFirst() >= WINDOW.toNanos()) {
        retries.removeFirst();
      }
      most = Math.max(most, retries.size());
    }
    double allowed = FLOOR + SHARE * WINDOW.toMillis();
    assertTrue(most <= allowed, most + " retries in a window, allowed: " + allowed);
    assertTrue(most >= 0.9 * allowed, most + " retries in a window, available: " + allowed);
  }

  /** Guards against a budget that never recovers, or that recovers before the window has passed. */
  @Test
  public void budgetRecoversAfterWindow() {
    RetryBudget budget = budget();
    int taken = 0;
    while (tryAcquire(budget, 0)) {
      taken++;
    }
    assertEquals(taken, FLOOR);
    assertFalse(tryAcquire(budget, WINDOW.toNanos() - 1));
    assertTrue(tryAcquire(budget, 2 * WINDOW.toNanos()));
  }

  /**
   * Guards against pacing a budget that is configured without it: a whole unused window must be
   * available at once, for example when an instance leaves.
   */
  @Test
  public void unpacedBudgetCanBeSpentAtOnce() {
    RetrySettings whole = new RetrySettings(3, Duration.ofMillis(2), SHARE, 0, WINDOW, true, false);
    RetryBudget budget = budget();
    for (long millis = 0; millis < 10_000; millis++) {
      budget.recordRequest(false, 0, millis * MILLI);
    }
    long now = WINDOW.toNanos() - MILLI;
    int taken = 0;
    while (budget.tryAcquire(0, whole, now)) {
      taken++;
    }
    assertTrue(taken >= 0.9 * SHARE * 10_000, "only " + taken + " retries");
  }

  /** Guards against failures when clock readings are negative or far apart. */
  @Test
  public void acceptsNegativeClockReadingsAndLongGaps() {
    RetryBudget budget = new RetryBudget(WINDOW, -6 * WINDOW.toNanos());
    budget.recordRequest(false, 0, -5 * WINDOW.toNanos());
    assertTrue(tryAcquire(budget, -4 * WINDOW.toNanos()));
    assertTrue(tryAcquire(budget, 1_000 * WINDOW.toNanos()));
  }

  /** Guards against a changed window that makes retries already spent available again. */
  @Test
  public void changedWindowKeepsSpentRetries() {
    RetryBudget budget = budget();
    while (tryAcquire(budget, 0)) {
      assertFalse(budget.counts().granted() > FLOOR);
    }
    RetrySettings shorter =
        new RetrySettings(3, Duration.ofMillis(2), SHARE, FLOOR, Duration.ofSeconds(5), true, true);
    assertFalse(budget.tryAcquire(FLOOR, shorter, 2 * WINDOW.toNanos() / 5));
  }

  /** Guards against charges for calls that do not reduce the number of retries available. */
  @Test
  public void chargesReduceAvailableRetries() {
    RetryBudget budget = budget();
    budget.charge(FLOOR - 1, 0);
    assertTrue(tryAcquire(budget, 0));
    assertFalse(tryAcquire(budget, 0));
  }
}
