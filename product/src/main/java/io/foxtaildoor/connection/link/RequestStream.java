package io.foxtaildoor.connection.link;

import io.netty.buffer.ByteBuf;

/** The caller's end of a stream. */
public interface RequestStream {
  /** Sends a part of the body, which is released; buffered when the window is used up. */
  void send(ByteBuf data, boolean end);

  /** Whether more of the body should be sent now; see {@link ResponseListener#onWritable}. */
  boolean isWritable();

  /** Tells that bytes of the answer were consumed, which lets the other node send more. */
  void consumed(int bytes);

  /** Gives up the stream; the listener is not called any more. */
  void cancel(String reason);
}
