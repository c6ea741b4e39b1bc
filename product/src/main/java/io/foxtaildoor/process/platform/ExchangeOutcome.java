package io.foxtaildoor.process.platform;

/** Outcome of one HTTP exchange with the platform. */
sealed interface ExchangeOutcome {
  /** A complete response was received, with any HTTP status. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are only parsed, never compared.
  record Answered(int status, byte[] body) implements ExchangeOutcome {}

  /** No byte of the request was written to a connection. */
  record NotSent(String reason) implements ExchangeOutcome {}

  /**
   * The exchange failed after the request may have been written.
   *
   * @param timedOut whether no response arrived in time on a connection that stayed open
   */
  record Failed(String reason, boolean timedOut) implements ExchangeOutcome {}
}
