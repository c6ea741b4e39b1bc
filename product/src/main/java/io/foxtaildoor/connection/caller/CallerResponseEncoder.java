package io.foxtaildoor.connection.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** HTTP response encoder that omits the body of responses to HEAD requests. */
final class CallerResponseEncoder extends HttpResponseEncoder {
  private boolean headRequest;

  /** Sets whether the next response answers a HEAD request. Must be called on the event loop. */
  void prepareForResponse(boolean toHeadRequest) {
    headRequest = toHeadRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return headRequest || super.isContentAlwaysEmpty(response);
  }
}
