package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.head.HeaderList;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks on the head of an upstream's response. */
final class ResponseChecks {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?=[ \r]|$)");

  private ResponseChecks() {}

  /**
   * Whether a response belongs to a request. A faulty upstream may send a response twice, and the
   * second copy would then be taken for the response to the next request on the connection.
   */
  static boolean belongsTo(HttpResponse httpResponse, HeaderDialect dialect, String requestId) {
    String named = httpResponse.headers().get(dialect.requestId());
    return named == null || named.equals(requestId);
  }

  /**
   * Describes why a head may be joined from the start of a response that broke off and the head of
   * the next one, so that its status is that of the former.
   *
   * @return empty if nothing in the head suggests that
   */
  static Optional<String> findJoinedHead(HttpResponse httpResponse, HeaderDialect dialect) {
    HeaderList headers = (HeaderList) httpResponse.headers();
    if (hasSecondStatusLine(httpResponse, headers)) {
      return Optional.of("the head of the response contains a second status line");
    }
    if (headers.getAll(dialect.requestId()).size() > 1) {
      return Optional.of("the response names its request more than once");
    }
    HttpVersion version = httpResponse.protocolVersion();
    if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
      return Optional.of("the response has the unsupported protocol version " + version);
    }
    return Optional.empty();
  }

  private static boolean hasSecondStatusLine(HttpResponse httpResponse, HeaderList headers) {
    if (containsStatusLine(httpResponse.status().reasonPhrase())) {
      return true;
    }
    for (int i = 0; i < headers.size(); i++) {
      if (containsStatusLine(headers.valueAt(i))) {
        return true;
      }
    }
    return false;
  }

  /** Whether a text contains a status line of HTTP/1. */
  static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
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
   * A successful one must also have one signature and no content encoding. In other dialects every
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
        || (headers.getAll(dialect.signature()).size() == 1
            && !headers.contains(HttpHeaderNames.CONTENT_ENCODING));
  }
}
