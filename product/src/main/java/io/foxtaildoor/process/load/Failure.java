package io.foxtaildoor.process.load;

/** Reason why a request received no response. */
public enum Failure {
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection closed or failed after the request was sent. */
  CONNECTION_LOST,
  /** The received data was not a valid HTTP response. */
  MALFORMED_ANSWER,
  /** The request was abandoned before a connection became available. */
  NOT_SENT,
  /** The request was sent, but no response arrived before it was abandoned. */
  TIMED_OUT,
  /** The request was sent and was still waiting for a response at the end of the run. */
  UNFINISHED
}
