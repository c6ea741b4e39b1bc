package io.foxtaildoor.request.balance;

/** How the instance for a request is chosen. */
public enum SelectionMode {
  /** The better of two random instances; near instances are preferred. */
  POWER_OF_TWO,
  /** All available instances in turn; used only as a baseline for comparisons. */
  ROUND_ROBIN
}
