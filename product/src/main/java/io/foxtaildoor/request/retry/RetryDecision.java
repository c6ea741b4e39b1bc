package io.foxtaildoor.request.retry;

/** Whether a failed attempt is followed by another one, and why not. */
public enum RetryDecision {
  /** Send the request again to an instance that was not tried. */
  SEND_AGAIN,
  /** Failures of this kind are never retried. */
  KIND_IS_FINAL,
  /** The upstream may have run the work, which must not be repeated. */
  NOT_REPEATABLE,
  /** Below depth 0 only refusals as not run are retried. */
  TOO_DEEP,
  /** The request had its last attempt. */
  LAST_ATTEMPT,
  /** Too little time is left. */
  NO_TIME,
  /** A part of the body is no longer held. */
  BODY_CONSUMED,
  /** The budget of the service is used up. */
  NO_BUDGET;

  /** Whether the request is sent again. */
  public boolean isRetry() {
    return this == SEND_AGAIN;
  }
}
