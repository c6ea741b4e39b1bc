package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;

/** Hears what becomes of a request stream; after an end or a failure nothing follows. */
public interface ResponseListener {
  /** The head of the answer; the last event when its {@code end} is set. */
  void onResponseStart(ResponseStart head);

  /** A part of the body, owned by the listener; the last event when {@code end} is true. */
  void onBody(ByteBuf data, boolean end);

  /**
   * The stream ended without a whole answer. {@code not_run} is true only when the other node
   * refused it definitely or no byte of it was sent.
   */
  void onFailure(StreamFailure failure);

  /** The stream takes more of the body again. */
  void onWritable();
}
