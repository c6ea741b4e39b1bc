package io.foxtaildoor.request.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudgets}. */
public class RetryBudgetsTest {
  private static final ServiceId FRONT = new ServiceId("front");
  private static final ServiceId CALLED = new ServiceId("called");
  private static final double DELTA = 0.001;
  private static final long RUN_DEADLINE = 1_000_000_000;

  private RetryBudgets budgets;

  @BeforeMethod
  public void create() {
    RetrySettings settings =
        new RetrySettings(3, Duration.ofMillis(2), 0.2, 0, Duration.ofSeconds(10), true, false);
    budgets = new RetryBudgets(settings, 0);
    budgets.recordRunStart(RUN_DEADLINE);
  }

  private double request(ServiceId service) {
    return budgets.recordRequest(service, Optional.of(FRONT), RUN_DEADLINE, 0);
  }

  private void run(double repeatShare, boolean idempotent) {
    budgets.recordRunEnd(FRONT, repeatShare, idempotent, 0);
  }

  /**
   * Guards against calls made by repeated runs that are not charged to the budget of the called
   * service.
   */
  @Test
  public void callsOfRepeatedRunsAreCharged() {
    for (int i = 0; i < 100; i++) {
      request(CALLED);
      run(0, true);
    }
    for (int i = 0; i < 20; i++) {
      assertTrue(budgets.counts().get(CALLED).charged() < 20);
      run(1, true);
    }
    assertEquals(budgets.counts().get(CALLED).charged(), 18, 1);
    assertTrue(budgets.tryAcquire(CALLED, 0));
    assertFalse(budgets.tryAcquire(CALLED, 0));
  }

  /** Guards against lowering the calls charged per run by counting runs that make no calls. */
  @Test
  public void callsAreAttributedToIdempotentRuns() {
    request(CALLED);
    request(CALLED);
    for (int i = 0; i < 100; i++) {
      run(0, false);
    }
    run(1, true);
    assertEquals(budgets.counts().get(CALLED).charged(), 2, DELTA);
  }

  /**
   * Guards against calls of repeated runs that count as first requests further down the call chain.
   */
  @Test
  public void callsCarryRepeatProbability() {
    assertEquals(request(CALLED), 0, DELTA);
    for (int i = 0; i < 3; i++) {
      run(0, true);
    }
    run(1, true);
    assertEquals(request(CALLED), 0.25, DELTA);
    assertEquals(request(FRONT), 0, DELTA);
  }

  /** Guards against client requests that are charged as calls of the local upstream. */
  @Test
  public void requestOutlastingAllRunsIsNotUpstreamCall() {
    run(1, true);
    long later = RUN_DEADLINE + Duration.ofMillis(200).toNanos();
    assertEquals(budgets.recordRequest(CALLED, Optional.of(FRONT), later, 0), 0, DELTA);
    run(1, true);
    assertEquals(budgets.counts().get(CALLED).charged(), 0, DELTA);
  }

  /** Guards against keeping budgets of services that are no longer in the configuration. */
  @Test
  public void removesServicesNoLongerConfigured() {
    request(CALLED);
    request(FRONT);
    budgets.retainServices(FRONT::equals);
    assertEquals(budgets.counts().keySet(), java.util.Set.of(FRONT));
  }
}
