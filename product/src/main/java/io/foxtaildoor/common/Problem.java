package io.foxtaildoor.common;

/**
 * Problem document according to RFC 9457.
 *
 * @param type relative URI reference that identifies the kind of error
 * @param outcome what the caller may assume about the request
 */
public record Problem(
    String type, String title, int status, String detail, String kind, String outcome) {
  /** Media type of the document. */
  public static final String CONTENT_TYPE = "application/problem+json";

  /** Creates the problem document of an error with the default outcome of its kind. */
  public static Problem of(ErrorKind kind, String detail) {
    return of(kind, kind.outcome(), detail);
  }

  /**
   * Creates the problem document of an error whose outcome is known more precisely than its kind
   * implies.
   */
  public static Problem of(ErrorKind kind, Outcome outcome, String detail) {
    String name = kind.headerValue();
    return new Problem(
        "/problems/" + name,
        name.replace('-', ' '),
        kind.status(),
        detail,
        name,
        outcome.headerValue());
  }
}
