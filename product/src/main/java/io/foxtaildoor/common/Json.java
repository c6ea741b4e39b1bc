package io.foxtaildoor.common;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes JSON with a single strict configuration. */
public final class Json {
  private static final int MAX_DEPTH = 50;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private Json() {}

  /** Serializes a value. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new FoxtaildoorException(ErrorKind.INTERNAL, "a value cannot be written as JSON", e);
    }
  }

  /**
   * Parses a document.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is malformed
   */
  public static JsonNode tree(byte[] document) {
    try {
      return MAPPER.readTree(document);
    } catch (IOException e) {
      throw invalid(e);
    }
  }

  /**
   * Deserializes a document to a value of the given type.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the document is
   *     malformed, has unknown fields or wrong types
   */
  public static <T> T read(byte[] document, Class<T> type) {
    try {
      T value = MAPPER.readValue(document, type);
      if (value == null) {
        throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "the JSON document is empty");
      }
      return value;
    } catch (IOException e) {
      throw invalid(e);
    }
  }

  private static FoxtaildoorException invalid(IOException cause) {
    String reason =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : cause.getMessage();
    return new FoxtaildoorException(
        ErrorKind.INVALID_INPUT, "the JSON document is invalid: " + reason, cause);
  }
}
