package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.RequestStart;

/** Accepts request streams; streams of other nodes arrive on the event loop of their link. */
@FunctionalInterface
public interface StreamAcceptor {
  /**
   * Accepts a stream and returns the listener of its request body.
   *
   * @param response receives the response
   */
  RequestListener accept(RequestStart head, ResponseStream response);
}
