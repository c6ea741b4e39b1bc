package io.foxtaildoor.request.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link RetryPolicy} and {@link RetryBudget}. */
public class RetryPolicyTest {
  private static final List<ErrorKind> KINDS = List.of(ErrorKind.values());
  private static final int CASES = 200_000;

  private final RetrySettings settings = RetrySettings.defaults();
  private final RetryPolicy policy = new RetryPolicy(settings);

  private static FailedAttempt randomFailure(Random random) {
    return new FailedAttempt(
        KINDS.get(random.nextInt(KINDS.size())),
        random.nextBoolean(),
        random.nextBoolean(),
        random.nextInt(28),
        1 + random.nextInt(4),
        random.nextInt(4),
        random.nextInt(4),
        random.nextInt(10) * 1_000_000L,
        random.nextBoolean());
  }

  /**
   * Guards against a second run of requests that must not be repeated, and against nested retries.
   */
  @Test
  public void randomFailuresAreRetriedOnlyWhenAllowed() {
    Random random = new Random(11);
    int sent = 0;
    for (int i = 0; i < CASES; i++) {
      FailedAttempt failure = randomFailure(random);
      boolean budget = random.nextBoolean();
      RetryDecision decision = policy.decide(failure, () -> budget);
      if (decision.isRetry()) {
        sent++;
        assertTrue(failure.notRun() || failure.idempotent(), "unknown outcome: " + failure);
        assertTrue(failure.notRun() || failure.depth() == 0, "nested retry: " + failure);
        assertTrue(failure.kind().retry() != ErrorKind.Retry.NEVER, "final kind: " + failure);
        assertTrue(
            failure.bodyReplayable() && budget, "body not replayable or no budget: " + failure);
        assertTrue(
            failure.maxUpstreamAttempts() == 0
                || failure.upstreamAttempts() < failure.maxUpstreamAttempts(),
            "more upstream attempts than the route admits: " + failure);
        assertTrue(failure.attempt() < 3 && failure.remainingNanos() > 0, failure.toString());
      }
    }
    assertTrue(sent > CASES / 100, "too few of the random cases are retried: " + sent);
  }

  /** Guards against a policy that is safe only because it refuses too many retries. */
  @Test
  public void everyRetriableKindIsRetriedWhenAllowed() {
    for (ErrorKind kind : ErrorKind.values()) {
      FailedAttempt refused = new FailedAttempt(kind, true, false, 27, 1, 1, 0, 5_000_000, true);
      FailedAttempt unknown = new FailedAttempt(kind, false, true, 0, 1, 1, 0, 5_000_000, true);
      boolean retriable = kind.retry() != ErrorKind.Retry.NEVER;
      assertEquals(policy.decide(refused, () -> true).isRetry(), retriable, kind.name());
      assertEquals(policy.decide(unknown, () -> true).isRetry(), retriable, kind.name());
    }
  }

  /** Guards against spending budget on a retry that the policy then refuses. */
  @Test
  public void budgetIsConsultedLast() {
    FailedAttempt last =
        new FailedAttempt(ErrorKind.OVERLOADED, true, true, 0, 3, 1, 0, 5_000_000, true);
    RetryDecision decision =
        policy.decide(
            last,
            () -> {
              throw new AssertionError(
                  "the budget was consulted for a retry that the policy refuses");
            });
    assertEquals(decision, RetryDecision.LAST_ATTEMPT);
  }

  /** Guards against retries above 10% of the requests, and against a budget that never recovers. */
  @Test
  public void budgetAdmitsTenPercentAndRecovers() {
    RetryBudget budget = new RetryBudget(settings.budgetWindow(), 0);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.recordRequest(false, 0, 0);
      admitted += budget.tryAcquire(3, settings, 0) ? 1 : 0;
    }
    assertTrue(admitted >= 100 && admitted <= 103, "admitted " + admitted);
    assertFalse(budget.tryAcquire(3, settings, 0));
    long later = Duration.ofMinutes(2).toNanos();
    assertTrue(
        budget.tryAcquire(3, settings, later),
        "the retry floor is not available after a time without requests");
  }
}
