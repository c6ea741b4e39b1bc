package io.foxtaildoor.common;

/**
 * What is known about a request for which the caller did not get the complete response of the
 * upstream.
 */
public enum Outcome {
  /** No byte of the request was written to an upstream. */
  NOT_RUN("not-run"),
  /** The upstream may have run the request. */
  UNKNOWN("unknown"),
  /** The request is not directed to an upstream. */
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
