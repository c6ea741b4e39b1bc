package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.head.HeaderList;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.regex.Pattern;

/** Checks on the head of an upstream's response. */
final class ResponseChecks {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}\\b");

  private ResponseChecks() {}

  /**
   * Whether a response belongs to a request. A faulty upstream may send a response twice, and the
   * second copy would then be taken for the response to the next request on the connection.
   */
  static boolean belongsTo(HttpResponse httpResponse, HeaderDialect dialect, String requestId) {
    List<String> named = httpResponse.headers().getAll(dialect.requestId());
    return named.isEmpty() || named.contains(requestId);
  }

  /**
   * Whether the reason phrase or a header contains a status line. The head is then joined from the
   * start of a response that broke off and the head of the next one, and its status is that of the
   * former.
   */
  static boolean containsStatusLine(HttpResponse httpResponse) {
    if (STATUS_LINE.matcher(httpResponse.status().reasonPhrase()).find()) {
      return true;
    }
    HeaderList headers = (HeaderList) httpResponse.headers();
    for (int i = 0; i < headers.size(); i++) {
      if (STATUS_LINE.matcher(headers.valueAt(i)).find()) {
        return true;
      }
    }
    return false;
  }

  /** Whether a response states that its request did not run. */
  static boolean statesNotRun(HttpResponse httpResponse, HeaderDialect dialect) {
    return !dialect.notRun().isEmpty()
        && (httpResponse.headers().contains(dialect.notRun())
            || httpResponse.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /**
   * Whether a response comes from the upstream itself as the response to the request. In a dialect
   * with signatures each response must name its request, and no other, since a response without an
   * id may be the late copy of an earlier one, and a copied refusal would be taken for a refusal of
   * this request. A successful one must also have one signature and no content encoding. In other
   * dialects every response passes.
   */
  static boolean isAuthentic(HttpResponse httpResponse, HeaderDialect dialect) {
    if (!dialect.requiresSignature()) {
      return true;
    }
    HttpHeaders headers = httpResponse.headers();
    if (headers.getAll(dialect.requestId()).size() != 1) {
      return false;
    }
    return httpResponse.status().codeClass() != HttpStatusClass.SUCCESS
        || (headers.getAll(dialect.signature()).size() == 1
            && !headers.contains(HttpHeaderNames.CONTENT_ENCODING));
  }
}
