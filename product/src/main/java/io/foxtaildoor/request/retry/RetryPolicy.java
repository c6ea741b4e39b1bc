package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a failed attempt is followed by another one.
 *
 * <p>A refusal as not run may be retried for any work at any depth. An unknown outcome is retried
 * only for idempotent work at depth 0, so that retries do not multiply along a call chain.
 */
public final class RetryPolicy {
  private final RetrySettings settings;

  /** Creates a policy. */
  public RetryPolicy(RetrySettings settings) {
    this.settings = settings;
  }

  /**
   * Decides about one failure.
   *
   * @param budget takes one retry from the budget; asked only when all else admits the retry
   */
  public RetryDecision decide(FailedAttempt failure, BooleanSupplier budget) {
    if (failure.kind().retry() == ErrorKind.Retry.NEVER) {
      return RetryDecision.KIND_IS_FINAL;
    }
    if (!failure.notRun() && !failure.idempotent()) {
      return RetryDecision.NOT_REPEATABLE;
    }
    if (!failure.notRun() && failure.depth() > 0) {
      return RetryDecision.TOO_DEEP;
    }
    boolean reachedLimit =
        failure.maxUpstreamAttempts() > 0
            && failure.upstreamAttempts() >= failure.maxUpstreamAttempts();
    if (reachedLimit || failure.attempt() >= settings.maxAttempts()) {
      return RetryDecision.LAST_ATTEMPT;
    }
    if (failure.remainingNanos() < settings.minRemaining().toNanos()) {
      return RetryDecision.NO_TIME;
    }
    if (!failure.bodyReplayable()) {
      return RetryDecision.BODY_CONSUMED;
    }
    if (settings.refusalsBypassBudget() && failure.upstreamAttempts() == 0) {
      return RetryDecision.SEND_AGAIN;
    }
    return budget.getAsBoolean() ? RetryDecision.SEND_AGAIN : RetryDecision.NO_BUDGET;
  }
}
