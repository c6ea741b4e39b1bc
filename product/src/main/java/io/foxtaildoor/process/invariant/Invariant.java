package io.foxtaildoor.process.invariant;

/** The invariants that a running node checks. */
public enum Invariant {
  /** A node never replaces its configuration with an older version. */
  VERSION_MONOTONIC,
  /** Every route of a configuration version refers to a service of the same version. */
  ROUTES_RESOLVE,
  /** A node holds a configuration version completely or not at all. */
  VERSION_WHOLE,
  /** Each response is returned for the request that it answers. */
  ANSWER_MATCHES_REQUEST,
  /** A request that was handed to an upstream is never refused as "not run". */
  NOT_RUN_IS_TRUE,
  /** A request that is not idempotent is handed to an upstream at most once. */
  HANDED_OVER_ONCE,
  /** An upstream that is leaving gets no new requests after the time limit. */
  NOTHING_NEW_WHEN_LEAVING,
  /** A planned stop of a node interrupts no request. */
  STOP_CUTS_NOTHING,
  /**
   * An accepted configuration version is never replaced by an older one or by one that was not
   * accepted.
   */
  ACCEPTED_STAYS
}
