package io.foxtaildoor.common;

/**
 * Names of the headers that carry the context of a request between callers, nodes and upstreams. An
 * empty name means that the dialect does not have the header.
 *
 * @param requestId id of the request, in requests and responses
 * @param deadlineMillis remaining time to the deadline, in whole milliseconds
 * @param caller service that sent the request
 * @param targetInstance instance that may run the request; other instances refuse it
 * @param notRun set by an upstream in the response to a request that it did not run
 * @param signature set by an upstream in each response that it created itself
 * @param sendsCallChain whether depth, attempt and rank are sent to the upstream
 */
public record HeaderDialect(
    String requestId,
    String deadlineMillis,
    String caller,
    String targetInstance,
    String notRun,
    String signature,
    boolean sendsCallChain) {
  /** The product's own headers. */
  public static final HeaderDialect STANDARD =
      new HeaderDialect(
          HeaderNames.REQUEST_ID,
          HeaderNames.DEADLINE_MILLIS,
          HeaderNames.CALLER,
          "",
          "",
          "",
          true);

  /**
   * Whether the node sets this header itself and drops a header of that name that the caller sent.
   */
  public boolean isSetByNode(String name) {
    return name.regionMatches(true, 0, HeaderNames.PREFIX, 0, HeaderNames.PREFIX.length())
        || name.equalsIgnoreCase(requestId)
        || name.equalsIgnoreCase(deadlineMillis)
        || name.equalsIgnoreCase(caller)
        || name.equalsIgnoreCase(targetInstance);
  }

  /** Whether every successful response of an upstream carries its signature. */
  public boolean requiresSignature() {
    return !signature.isEmpty();
  }
}
