package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;

/** The answering end of a stream; calls from any thread are passed to the link's event loop. */
public interface ResponseStream {
  /** Sends the head of the answer; the stream id is set here. */
  void start(ResponseStart head);

  /** Sends a part of the body, which is released. */
  void send(ByteBuf data, boolean end);

  /**
   * Sends a whole answer, whose body is released. A link writes head and body together, so that an
   * end of the process between them does not cut a small answer.
   */
  default void sendResponse(ResponseStart head, ByteBuf body) {
    start(head);
    send(body, true);
  }

  /** Ends the stream without a whole answer; the stream id is set here. */
  void fail(StreamFailure failure);

  /** Whether more of the body should be sent now. */
  boolean isWritable();

  /** Tells that bytes of the request body were consumed. */
  void consumed(int bytes);

  /** The event loop of the link. */
  EventLoop eventLoop();
}
