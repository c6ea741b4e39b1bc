package io.foxtaildoor.connection.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.common.Problem;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Creates error responses whose body is a problem document (application/problem+json) with the id
 * of the request.
 */
final class ProblemResponses {
  private final CallerProtocol protocol;

  ProblemResponses(CallerProtocol protocol) {
    this.protocol = protocol;
  }

  /**
   * Creates an error response. A 503 response carries a Retry-After header if one is configured.
   */
  FullHttpResponse create(ErrorKind kind, Outcome outcome, String detail, String requestId) {
    Problem problem = Problem.of(kind, outcome, detail);
    // The document is built field by field because serialization by reflection takes more time than
    // the rest of a refusal.
    ObjectNode document =
        JsonNodeFactory.instance
            .objectNode()
            .put("type", problem.type())
            .put("title", problem.title())
            .put("status", problem.status())
            .put("detail", problem.detail())
            .put("kind", problem.kind())
            .put("outcome", problem.outcome())
            .put("requestId", requestId);
    byte[] content = document.toString().getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(kind.status()),
            Unpooled.wrappedBuffer(content));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, Problem.CONTENT_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, content.length)
        .set(HeaderNames.ERROR, kind.headerValue())
        .set(HeaderNames.OUTCOME, outcome.headerValue())
        .set(protocol.headers().requestId(), requestId);
    Duration retryAfter = protocol.retryAfter();
    if (kind.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code() && !retryAfter.isZero()) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfter));
    }
    return response;
  }

  /** Formats a duration as seconds with three decimals. */
  private static String formatSeconds(Duration duration) {
    return BigDecimal.valueOf(duration.toMillis(), 3).toPlainString();
  }
}
