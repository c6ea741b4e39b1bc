package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Checks on the head of an upstream's response. */
final class ResponseChecks {
  private ResponseChecks() {}

  /**
   * Whether a response belongs to a request. A faulty upstream may send a response twice, and the
   * second copy would then be taken for the response to the next request on the connection.
   */
  static boolean belongsTo(HttpResponse httpResponse, HeaderDialect dialect, String requestId) {
    String named = httpResponse.headers().get(dialect.requestId());
    return named == null || named.equals(requestId);
  }

  /** Whether a response states that its request did not run. */
  static boolean statesNotRun(HttpResponse httpResponse, HeaderDialect dialect) {
    return !dialect.notRun().isEmpty()
        && (httpResponse.headers().contains(dialect.notRun())
            || httpResponse.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /**
   * Whether a successful response comes from the upstream itself with its body unchanged: in a
   * dialect with signatures it must be signed, name its request and have no content encoding. Other
   * responses always pass.
   */
  static boolean isAuthentic(HttpResponse httpResponse, HeaderDialect dialect) {
    boolean good = httpResponse.status().codeClass() == HttpStatusClass.SUCCESS;
    if (!dialect.requiresSignature() || !good) {
      return true;
    }
    return httpResponse.headers().contains(dialect.signature())
        && httpResponse.headers().contains(dialect.requestId())
        && !httpResponse.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
  }
}
