package io.foxtaildoor.common;

/** All kinds of errors, with the HTTP status, outcome, retry rule and exit code of each. */
public enum ErrorKind {
  /** A request or document is malformed. */
  INVALID_INPUT(400, Outcome.NOT_RUN, Retry.NEVER, 2),
  /** The headers of a request are larger than the node admits. */
  HEADERS_TOO_LARGE(431, Outcome.NOT_RUN, Retry.NEVER, 2),
  /** The head of a request did not arrive in time. */
  HEAD_TIMEOUT(408, Outcome.NOT_RUN, Retry.NEVER, 4),
  /** The credentials are missing or wrong. */
  UNAUTHENTICATED(401, Outcome.NOT_APPLICABLE, Retry.NEVER, 2),
  /** The operator may not act for that member organisation. */
  FORBIDDEN(403, Outcome.NOT_APPLICABLE, Retry.NEVER, 2),
  /** The calling service is not one of the callers that the called service allows. */
  CALLER_NOT_ALLOWED(403, Outcome.NOT_RUN, Retry.NEVER, 1),
  /** No route matches, or the document does not exist. */
  NOT_FOUND(404, Outcome.NOT_RUN, Retry.NEVER, 1),
  /** Another operator changed the document in the meantime. */
  CONFLICT(409, Outcome.NOT_APPLICABLE, Retry.NEVER, 3),
  /**
   * The request repeats one with the same idempotency key that was already sent to the upstream.
   */
  DUPLICATE(409, Outcome.UNKNOWN, Retry.NEVER, 1),
  /** The body is larger than the route admits. */
  BODY_TOO_LARGE(413, Outcome.UNKNOWN, Retry.NEVER, 2),
  /** The queues of the upstream are full, or the estimated wait exceeds the deadline. */
  OVERLOADED(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** The upstream or its node is shutting down. */
  LEAVING(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** The node has no live upstream for the service. */
  NO_UPSTREAM(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** The node has not received a configuration yet. */
  NOT_READY(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** The deadline passed before the request was sent to the upstream. */
  EXPIRED(504, Outcome.NOT_RUN, Retry.NEVER, 4),
  /** The deadline passed after the request was sent to the upstream. */
  TIMEOUT(504, Outcome.UNKNOWN, Retry.IF_IDEMPOTENT, 4),
  /** The connection to the other node failed before the request was sent. */
  NODE_UNREACHABLE(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** No connection to the upstream could be established, so no byte of the request was written. */
  UPSTREAM_UNREACHABLE(503, Outcome.NOT_RUN, Retry.ELSEWHERE, 4),
  /** A connection failed after the request was sent. */
  OUTCOME_UNKNOWN(502, Outcome.UNKNOWN, Retry.IF_IDEMPOTENT, 4),
  /** The response of the upstream is malformed. */
  BAD_UPSTREAM_ANSWER(502, Outcome.UNKNOWN, Retry.IF_IDEMPOTENT, 1),
  /**
   * The upstream responded with an error. Never reported to a caller, because the upstream's own
   * response is passed on.
   */
  UPSTREAM_FAILED(502, Outcome.UNKNOWN, Retry.IF_IDEMPOTENT, 1),
  /** The caller disconnected or cancelled the request. */
  CANCELLED(499, Outcome.UNKNOWN, Retry.NEVER, 1),
  /** The platform does not respond. */
  PLATFORM_UNAVAILABLE(503, Outcome.NOT_APPLICABLE, Retry.NEVER, 4),
  /** A write to the platform may or may not have taken effect. */
  PLATFORM_OUTCOME_UNKNOWN(503, Outcome.NOT_APPLICABLE, Retry.NEVER, 4),
  /** The other node supports no common protocol version or violates the protocol. */
  PROTOCOL_VIOLATION(502, Outcome.UNKNOWN, Retry.IF_IDEMPOTENT, 1),
  /** A configuration version failed its validation. */
  BAD_CONFIGURATION(422, Outcome.NOT_APPLICABLE, Retry.NEVER, 2),
  /** An internal error of the product. */
  INTERNAL(500, Outcome.UNKNOWN, Retry.NEVER, 1);

  /** Whether the system itself may retry a request that failed with a kind of error. */
  public enum Retry {
    /** Never retried by the system. */
    NEVER,
    /** Retried on another instance, whether or not the request is idempotent. */
    ELSEWHERE,
    /** Retried only if the request is idempotent. */
    IF_IDEMPOTENT
  }

  private final int status;
  private final Outcome outcome;
  private final Retry retry;
  private final int exitCode;

  ErrorKind(int status, Outcome outcome, Retry retry, int exitCode) {
    this.status = status;
    this.outcome = outcome;
    this.retry = retry;
    this.exitCode = exitCode;
  }

  /** HTTP status of the response. */
  public int status() {
    return status;
  }

  /** What the caller may assume about the request when nothing more specific is known. */
  public Outcome outcome() {
    return outcome;
  }

  public Retry retry() {
    return retry;
  }

  /** Exit code of a command that fails with this kind. */
  public int exitCode() {
    return exitCode;
  }

  /** Value of the {@code foxtaildoor-error} header. */
  public String headerValue() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
