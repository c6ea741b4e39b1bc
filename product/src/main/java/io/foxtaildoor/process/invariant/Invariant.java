package io.foxtaildoor.process.invariant;

/** The closed list of what must always hold. */
public enum Invariant {
  /** A node never moves to an older version. */
  VERSION_MONOTONIC,
  /** Every route resolves to a service within the held version. */
  ROUTES_RESOLVE,
  /** A version is held whole or not at all. */
  VERSION_WHOLE,
  /** An answer goes to the request it belongs to. */
  ANSWER_MATCHES_REQUEST,
  /** A "not run" refusal never follows a hand-over. */
  NOT_RUN_IS_TRUE,
  /** A request that is not idempotent is handed over at most once. */
  HANDED_OVER_ONCE,
  /** A leaving upstream gets nothing new after the limit. */
  NOTHING_NEW_WHEN_LEAVING,
  /** A planned stop cuts no request. */
  STOP_CUTS_NOTHING,
  /** An accepted version is never replaced by an older or unaccepted one. */
  ACCEPTED_STAYS
}
