package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;

/** Receives the response to a request stream. No event follows an end or a failure. */
public interface ResponseListener {
  /** Called with the response head; the last event when its {@code end} is set. */
  void onResponseStart(ResponseStart head);

  /**
   * Called with the next part of the response body, which the listener owns from then on; the last
   * event when {@code end} is true.
   */
  void onBody(ByteBuf data, boolean end);

  /**
   * Called when the stream ended without a complete response. {@code not_run} is true only when the
   * other node definitely refused the request or no byte of it was sent.
   */
  void onFailure(StreamFailure failure);

  /** Called when more of the request body can be sent again. */
  void onWritable();
}
