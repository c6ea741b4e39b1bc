package io.foxtaildoor.connection.link;

import io.netty.buffer.ByteBuf;

/** Hears the rest of an accepted stream. */
public interface RequestListener {
  /** A part of the body, owned by the listener. */
  void onBody(ByteBuf data, boolean end);

  /** The caller gave up or its link broke; no answer is expected any more. */
  void onCancelled(String reason);

  /** The response side takes more of the body again. */
  void onWritable();
}
