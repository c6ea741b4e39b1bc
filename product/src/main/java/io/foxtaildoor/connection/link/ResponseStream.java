package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;

/**
 * The responding end of a stream. Methods may be called from any thread; calls are executed on the
 * link's event loop.
 */
public interface ResponseStream {
  /** Sends the response head; the stream id in the head is set by this method. */
  void start(ResponseStart head);

  /** Sends a part of the response body and releases it. */
  void send(ByteBuf data, boolean end);

  /**
   * Sends a complete response and releases its body. A link writes head and body together, so that
   * a process that stops in between does not truncate a small response.
   */
  default void sendResponse(ResponseStart head, ByteBuf body) {
    start(head);
    send(body, true);
  }

  /** Ends the stream without a complete response; sets the stream id in the failure. */
  void fail(StreamFailure failure);

  /** Whether more of the response body should be sent now. */
  boolean isWritable();

  /** Reports consumed bytes of the request body, so that the caller may send more. */
  void consumed(int bytes);

  /** Returns the event loop of the link. */
  EventLoop eventLoop();
}
