package io.foxtaildoor.request.balance;

/** Result of one attempt, as it counts for the instance that it was sent to. */
public enum AttemptResult {
  /** A complete response arrived; its latency is a sample. */
  ANSWERED,
  /**
   * The node of the instance refused the request without running it, because of load or a planned
   * stop.
   */
  REFUSED,
  /** The instance or the link to it failed, or the attempt timed out. */
  FAILED,
  /** The instance is shutting down or has no upstream; this does not count as a failure. */
  ABSENT,
  /** The instance or its node could not be reached. */
  UNREACHABLE,
  /** The caller gave up; the attempt gives no information about the instance. */
  ABANDONED
}
