package io.foxtaildoor.request.balance;

/** What one attempt says about the instance that it was sent to. */
public enum AttemptResult {
  /** A whole answer arrived; its latency is a sample. */
  ANSWERED,
  /** The instance's node refused the request as not run because of load or a planned stop. */
  REFUSED,
  /** The instance or the link to it failed, or the attempt timed out. */
  FAILED,
  /** The instance is leaving or has no upstream; it is no failure. */
  ABSENT,
  /** The instance or its node could not be reached. */
  UNREACHABLE,
  /** The caller gave up; nothing is learned. */
  ABANDONED
}
