package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
   * Whether a response comes from the upstream itself as the response to the request. In a dialect
   * with signatures each response must name its request, since a response without an id may be the
   * late copy of an earlier one, and a copied refusal would be taken for a refusal of this request.
   * A successful one must also be signed and have no content encoding. In other dialects every
   * response passes.
   */
  static boolean isAuthentic(HttpResponse httpResponse, HeaderDialect dialect) {
    if (!dialect.requiresSignature()) {
      return true;
    }
    HttpHeaders headers = httpResponse.headers();
    if (!headers.contains(dialect.requestId())) {
      return false;
    }
    return httpResponse.status().codeClass() != HttpStatusClass.SUCCESS
        || (headers.contains(dialect.signature())
            && !headers.contains(HttpHeaderNames.CONTENT_ENCODING));
  }
}
