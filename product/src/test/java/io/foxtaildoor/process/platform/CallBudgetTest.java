package io.foxtaildoor.process.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link CallBudget}. */
public class CallBudgetTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Guards against exceeding the platform's rate limit when many nodes restart at once. */
  @Test
  public void allowsTheBurstThenTheSustainedRate() {
    CallBudget budget = new CallBudget(new CallRate(5, 1));
    long now = -3 * SECOND;
    for (int i = 0; i < 5; i++) {
      assertEquals(budget.reserve(now, 0).orElse(-1), 0);
    }
    assertTrue(budget.reserve(now, 0).isEmpty());
    assertEquals(budget.reserve(now, 10 * SECOND).orElse(-1), SECOND);
    assertEquals(budget.reserve(now, 10 * SECOND).orElse(-1), 2 * SECOND);
  }

  /** Guards against a rejected reservation that delays later calls. */
  @Test
  public void rejectedReservationUsesNoToken() {
    CallBudget budget = new CallBudget(new CallRate(1, 1));
    assertEquals(budget.reserve(0, 0).orElse(-1), 0);
    for (int i = 0; i < 100; i++) {
      assertTrue(budget.reserve(0, SECOND / 2).isEmpty());
    }
    assertEquals(budget.reserve(SECOND, 0).orElse(-1), 0);
  }

  /** Guards against tokens that accumulate beyond the burst size while there are no calls. */
  @Test
  public void tokensDoNotAccumulateBeyondTheBurst() {
    CallBudget budget = new CallBudget(new CallRate(2, 1));
    assertEquals(budget.reserve(0, 0).orElse(-1), 0);
    long later = 1_000 * SECOND;
    assertEquals(budget.reserve(later, 0).orElse(-1), 0);
    assertEquals(budget.reserve(later, 0).orElse(-1), 0);
    assertTrue(budget.reserve(later, 0).isEmpty());
  }
}
