package io.foxtaildoor.connection.link;

import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.RequestStart;

/** Opens request streams to other nodes; many streams share one link. */
public interface LinkClient extends AutoCloseable {
  /**
   * Opens a stream and sends the request head. The stream id in the head is set by this method.
   *
   * <p>Link failures are reported to the listener, possibly before this method returns, and never
   * thrown. The listener is called from one event loop at a time.
   */
  RequestStream open(NodeRecord target, RequestStart head, ResponseListener listener);

  /** Closes all links; open streams fail. */
  @Override
  void close();
}
