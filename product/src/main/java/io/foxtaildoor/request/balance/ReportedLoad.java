package io.foxtaildoor.request.balance;

import io.foxtaildoor.protocol.LoadReport;

/**
 * Load of an upstream as reported by its node with a response.
 *
 * @param occupied number of requests in flight and queued
 * @param limit number of concurrent requests that the node admits at present
 */
public record ReportedLoad(int occupied, int limit) {
  /** Converts the protocol message. */
  public static ReportedLoad of(LoadReport message) {
    return new ReportedLoad(message.getInFlight() + message.getQueued(), message.getLimit());
  }
}
