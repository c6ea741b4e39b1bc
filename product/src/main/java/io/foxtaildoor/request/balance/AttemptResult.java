package io.foxtaildoor.request.balance;

/** What one attempt says about the instance that it was sent to. */
public enum AttemptResult {
  /** A whole answer arrived; its latency is a sample. */
  ANSWERED,
  /** The instance's node refused the request as not run because of load or a planned stop. */
  REFUSED,
  /** The instance or the link to it failed, or the attempt timed out. */
  FAILED,
  /** The caller gave up; nothing is learned. */
  ABANDONED
}
