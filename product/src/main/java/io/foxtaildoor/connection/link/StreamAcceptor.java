package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.RequestStart;

/** Takes the streams that other nodes open; called on the link's event loop. */
@FunctionalInterface
public interface StreamAcceptor {
  /** Takes a stream; its answer goes to the response side. */
  RequestListener accept(RequestStart head, ResponseStream response);
}
