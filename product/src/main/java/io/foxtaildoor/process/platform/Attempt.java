package io.foxtaildoor.process.platform;

/** Outcome of one HTTP exchange with the platform. */
sealed interface Attempt {
  /** A complete response was received, with any HTTP status. */
  @SuppressWarnings("ArrayRecordComponent") // Bodies are only parsed, never compared.
  record Answered(int status, byte[] body) implements Attempt {}

  /** No byte of the request was written to a connection. */
  record NotSent(String reason) implements Attempt {}

  /** The exchange failed after the request may have been written. */
  record Broken(String reason) implements Attempt {}
}
