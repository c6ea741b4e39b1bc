package io.foxtaildoor.request.retry;

/** Whether a failed attempt is retried, and if not, why. */
public enum RetryDecision {
  /** The request is sent again, to an instance that was not tried yet. */
  SEND_AGAIN,
  /** Failures of this error kind are never retried. */
  KIND_IS_FINAL,
  /** The upstream may have run the request, which is not idempotent. */
  NOT_REPEATABLE,
  /** Beyond depth 0, only refusals without a run are retried. */
  TOO_DEEP,
  /** The request has used all its attempts. */
  LAST_ATTEMPT,
  /** Too little time is left until the deadline. */
  NO_TIME,
  /** Part of the request body that was sent is no longer buffered. */
  BODY_CONSUMED,
  /** The retry budget of the service is used up. */
  NO_BUDGET;

  /** Whether the request is retried. */
  public boolean isRetry() {
    return this == SEND_AGAIN;
  }
}
