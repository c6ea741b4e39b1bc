package io.foxtaildoor.connection.link;

import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.RequestStart;

/** Opens request streams on multiplexed links to other nodes. */
public interface LinkClient extends AutoCloseable {
  /**
   * Opens a stream and sends the head of a request; the stream id in the head is set here.
   *
   * <p>Never throws for a failure of the link: the listener hears of it, also from within this
   * call. The listener is called from one event loop at a time.
   */
  RequestStream open(NodeRecord target, RequestStart head, ResponseListener listener);

  /** Closes all links; their streams fail. */
  @Override
  void close();
}
