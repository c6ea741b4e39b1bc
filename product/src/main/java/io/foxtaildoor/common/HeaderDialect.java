package io.foxtaildoor.common;

/**
 * Names of the headers that carry a request's context between callers, nodes and upstreams. An
 * empty name stands for a header that the dialect does not have.
 *
 * @param requestId id of the request, in requests and answers
 * @param deadlineMillis time that is left, in whole milliseconds
 * @param caller service that the request comes from
 * @param targetInstance instance that may run the request; others refuse it
 * @param notRun set by an upstream in an answer to a request that it did not run
 * @param signature set by an upstream in each answer that it made itself
 * @param sendsCallChain whether depth, attempt and rank are told to the upstream
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

  /** Whether a caller's header is replaced by one that the node sets. */
  public boolean isSetByNode(String lowerCaseName) {
    return lowerCaseName.startsWith(HeaderNames.PREFIX)
        || lowerCaseName.equalsIgnoreCase(requestId)
        || lowerCaseName.equalsIgnoreCase(deadlineMillis)
        || lowerCaseName.equalsIgnoreCase(caller)
        || lowerCaseName.equalsIgnoreCase(targetInstance);
  }

  /** Whether every good answer of an upstream carries its signature. */
  public boolean requiresSignature() {
    return !signature.isEmpty();
  }
}
