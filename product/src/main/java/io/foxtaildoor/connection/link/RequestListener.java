package io.foxtaildoor.connection.link;

import io.netty.buffer.ByteBuf;

/** Receives the request body and other events of an accepted stream. */
public interface RequestListener {
  /** Called with the next part of the request body, which the listener owns from then on. */
  void onBody(ByteBuf data, boolean end);

  /** Called when the caller cancelled or its link closed; no response is expected any more. */
  void onCancelled(String reason);

  /** Called when more of the response body can be sent again. */
  void onWritable();
}
