package io.foxtaildoor.process.platform;

/** How one HTTP exchange ended. */
sealed interface Attempt {
  /** A whole response arrived. */
  @SuppressWarnings("ArrayRecordComponent") // The body is parsed, never compared.
  record Answered(int status, byte[] body) implements Attempt {}

  /** No byte of the request was written. */
  record NotSent(String reason) implements Attempt {}

  /** The exchange failed after the request may have been written. */
  record Broken(String reason) implements Attempt {}
}
