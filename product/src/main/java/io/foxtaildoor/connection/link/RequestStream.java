package io.foxtaildoor.connection.link;

import io.netty.buffer.ByteBuf;

/** The caller's end of a stream: sends the request body and controls the response flow. */
public interface RequestStream {
  /** Sends a part of the request body and releases it; buffers it while the window is exhausted. */
  void send(ByteBuf data, boolean end);

  /**
   * Whether more of the request body should be sent now; see {@link ResponseListener#onWritable}.
   */
  boolean isWritable();

  /** Reports consumed bytes of the response body, so that the other node may send more. */
  void consumed(int bytes);

  /** Cancels the stream; the listener is not called any more. */
  void cancel(String reason);
}
