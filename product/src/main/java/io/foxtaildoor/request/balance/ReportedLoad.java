package io.foxtaildoor.request.balance;

import io.foxtaildoor.protocol.LoadReport;

/**
 * Load of an upstream as its node reported it with an answer.
 *
 * @param occupied requests in flight and queued
 * @param limit concurrent requests that the node admits at present
 */
public record ReportedLoad(int occupied, int limit) {
  /** Reads the wire form. */
  public static ReportedLoad of(LoadReport message) {
    return new ReportedLoad(message.getInFlight() + message.getQueued(), message.getLimit());
  }
}
