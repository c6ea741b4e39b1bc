package io.foxtaildoor.request.admission;

/** How a running request ended and freed its slot. */
public enum Completion {
  /** The upstream sent a response. */
  ANSWERED,
  /** The upstream refused the request because it is overloaded. */
  SHED,
  /**
   * No response, because the request was cancelled, timed out or lost its connection; gives no
   * sample of the service time.
   */
  ABANDONED
}
