package io.foxtaildoor.process.load;

/** Why a request got no answer. */
public enum Failure {
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection closed or failed after the request was sent. */
  CONNECTION_LOST,
  /** The answer was no valid HTTP response. */
  MALFORMED_ANSWER,
  /** No connection was free before the request was given up. */
  NOT_SENT,
  /** Sent, but no answer before the request was given up. */
  TIMED_OUT,
  /** Sent, and still without an answer at the end of the run. */
  UNFINISHED
}
