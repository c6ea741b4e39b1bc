package io.foxtaildoor.common;

/** What is known of a request that did not get the upstream's whole answer. */
public enum Outcome {
  /** No byte of the request was written to an upstream. */
  NOT_RUN("not-run"),
  /** The upstream may have run the request. */
  UNKNOWN("unknown"),
  /** The request is not one for an upstream. */
  NOT_APPLICABLE("none");

  private final String headerValue;

  Outcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Value of the {@code foxtaildoor-outcome} header. */
  public String headerValue() {
    return headerValue;
  }
}
