package io.foxtaildoor.process.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Encodes the JSON bodies of requests to the platform and maps its HTTP/JSON responses to typed
 * results.
 */
final class PlatformResponses {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;
  private static final int CLIENT_ERROR = 400;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;

  private PlatformResponses() {}

  /** Parses the JSON document of a successful response. */
  @FunctionalInterface
  interface DocumentParser<T> {
    T parse(JsonNode document) throws IOException;
  }

  static byte[] encodeValue(byte[] value) {
    return toBytes(JSON.createObjectNode().put("value", value));
  }

  static byte[] encodeLease(PlatformLease lease) {
    ObjectNode node = JSON.createObjectNode().put("holder", lease.holder());
    return toBytes(
        node.put("ttlMillis", lease.timeToLive().toMillis()).put("token", lease.token()));
  }

  private static byte[] toBytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Maps the outcome of an exchange to a result. A response that cannot be parsed leaves the
   * outcome of a write unknown.
   */
  static <T> PlatformResult<T> toResult(
      ExchangeOutcome outcome, PlatformRequest request, String key, DocumentParser<T> parser) {
    if (outcome instanceof ExchangeOutcome.NotSent notSent) {
      return new PlatformResult.Unavailable<>(notSent.reason());
    }
    if (outcome instanceof ExchangeOutcome.Failed failed) {
      return unknownOutcome(request, failed.reason());
    }
    ExchangeOutcome.Answered answered = (ExchangeOutcome.Answered) outcome;
    try {
      return parseResponse(answered, request, key, parser);
    } catch (IOException e) {
      return unknownOutcome(request, "malformed response: " + e.getMessage());
    }
  }

  private static <T> PlatformResult<T> parseResponse(
      ExchangeOutcome.Answered answered,
      PlatformRequest request,
      String key,
      DocumentParser<T> parser)
      throws IOException {
    int status = answered.status();
    if (status == OK) {
      return new PlatformResult.Done<>(parser.parse(JSON.readTree(answered.body())));
    }
    if (status == CONFLICT) {
      return new PlatformResult.Conflict<>(parseEntry(JSON.readTree(answered.body()), key));
    }
    String reason = "the platform responded with status " + status;
    if (status >= CLIENT_ERROR && status < SERVER_ERROR) {
      return new PlatformResult.Unavailable<>(reason);
    }
    return unknownOutcome(request, reason);
  }

  private static <T> PlatformResult<T> unknownOutcome(PlatformRequest request, String reason) {
    return request.changesState()
        ? new PlatformResult.OutcomeUnknown<>(reason)
        : new PlatformResult.Unavailable<>(reason);
  }

  static PlatformEntry parseEntry(JsonNode document, String key) throws IOException {
    checkKey(document, key);
    JsonNode revision = document.path("revision");
    JsonNode value = document.path("value");
    if (!revision.isIntegralNumber() || !value.isTextual()) {
      throw new IOException("the response has no valid revision or value");
    }
    return new PlatformEntry(key, revision.asLong(), value.binaryValue());
  }

  static PlatformLease parseLease(JsonNode document, String key, String holder) throws IOException {
    checkKey(document, key);
    JsonNode token = document.path("token");
    JsonNode millis = document.path("ttlMillis");
    boolean complete = token.isIntegralNumber() && millis.isIntegralNumber();
    if (!complete || !document.path("holder").asText().equals(holder)) {
      throw new IOException("the response has no valid lease for holder " + holder);
    }
    return new PlatformLease(key, holder, token.asLong(), Duration.ofMillis(millis.asLong()));
  }

  private static void checkKey(JsonNode document, String key) throws IOException {
    if (document == null || !document.path("key").asText().equals(key)) {
      throw new IOException("the response is not for key " + key);
    }
  }
}
