package io.foxtaildoor.request.admission;

/** How a request left its slot. */
public enum Completion {
  /** The upstream answered. */
  ANSWERED,
  /** The upstream answered that it has too much work. */
  SHED,
  /** No answer: cancelled, broken or timed out; says nothing of the service time. */
  ABANDONED
}
