package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Json;
import io.foxtaildoor.common.Problem;
import java.nio.charset.StandardCharsets;

/** HTTP response of the operator interface. */
@SuppressWarnings(
    "ArrayRecordComponent") // The body is written only once and instances are never compared.
public record OperatorResponse(int status, String contentType, byte[] body) {
  /** Returns a response with a value serialized as JSON. */
  public static OperatorResponse json(int status, Object value) {
    return new OperatorResponse(status, "application/json", Json.bytes(value));
  }

  /** Returns a response with a UTF-8 text body. */
  public static OperatorResponse text(int status, String contentType, String text) {
    return new OperatorResponse(status, contentType, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a problem document. */
  public static OperatorResponse problem(ErrorKind kind, String detail) {
    return new OperatorResponse(
        kind.status(), Problem.CONTENT_TYPE, Json.bytes(Problem.of(kind, detail)));
  }
}
