package io.foxtaildoor.connection.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Response encoder that knows which answers belong to HEAD requests and have no body. */
final class CallerResponseEncoder extends HttpResponseEncoder {
  private boolean headRequest;

  /** Sets the kind of the request whose answer is written next; on the event loop only. */
  void prepareForResponse(boolean toHeadRequest) {
    headRequest = toHeadRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return headRequest || super.isContentAlwaysEmpty(response);
  }
}
