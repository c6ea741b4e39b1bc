package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>A request that was refused without being run may be retried at any depth, whether or not it is
 * idempotent. A request with an unknown outcome is retried only if it is idempotent and at depth 0,
 * so that retries do not multiply along a call chain.
 */
public final class RetryPolicy {
  private final RetrySettings settings;

  /** Creates a policy with the given settings. */
  public RetryPolicy(RetrySettings settings) {
    this.settings = settings;
  }

  /**
   * Decides whether one failed attempt is retried.
   *
   * @param budget takes one retry from the budget; called only when all other conditions admit the
   *     retry
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
