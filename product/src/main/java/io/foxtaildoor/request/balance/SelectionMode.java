package io.foxtaildoor.request.balance;

/** How the instance for a request is chosen. */
public enum SelectionMode {
  /** The better of two random instances, near ones first. */
  POWER_OF_TWO,
  /** Each available instance in turn; only for comparison. */
  ROUND_ROBIN
}
