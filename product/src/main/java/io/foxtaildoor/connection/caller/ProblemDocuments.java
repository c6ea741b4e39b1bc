package io.foxtaildoor.connection.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
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
import java.nio.charset.StandardCharsets;

/** Error answers as problem documents with the id of the request. */
final class ProblemDocuments {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ProblemDocuments() {}

  static FullHttpResponse of(ErrorKind kind, Outcome outcome, String detail, String requestId) {
    ObjectNode document = MAPPER.valueToTree(Problem.of(kind, outcome, detail));
    document.put("requestId", requestId);
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
        .set(HeaderNames.REQUEST_ID, requestId);
    return response;
  }
}
