package io.foxtaildoor.process.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Json;
import io.foxtaildoor.common.Problem;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;

/** HTTP client for the operator interface of one node. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(CONNECT_TIMEOUT)
          .version(HttpClient.Version.HTTP_1_1)
          .build();
  private final String node;
  private final String credentials;

  /**
   * Creates a client.
   *
   * @param node address as {@code HOST:PORT}
   * @param credentials {@code NAME:TOKEN}, or null if the calls need no authentication
   */
  OperatorClient(String node, String credentials) {
    this.node = node;
    this.credentials = credentials;
  }

  JsonNode get(String path) {
    return call("GET", path, Map.of(), new byte[0]);
  }

  /**
   * Sends a request to the node.
   *
   * @return the JSON response, or the problem document if it lists {@code problems} of a
   *     questionnaire
   * @throws FoxtaildoorException if the request fails, with the kind that the problem document
   *     states
   */
  JsonNode call(String method, String path, Map<String, String> headers, byte[] body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(path))
            .timeout(CALL_TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
    headers.forEach(request::header);
    if (credentials != null) {
      request.header("Authorization", "Bearer " + credentials);
    }
    HttpResponse<byte[]> response =
        NodeCalls.send(http, request.build(), HttpResponse.BodyHandlers.ofByteArray(), node);
    if (response.statusCode() < 400) {
      return Json.tree(response.body());
    }
    if (!isProblemDocument(response)) {
      throw new FoxtaildoorException(
          ErrorKind.INTERNAL, "the node answered with status " + response.statusCode());
    }
    JsonNode problem = Json.tree(response.body());
    if (problem.has("problems")) {
      return problem;
    }
    throw new FoxtaildoorException(
        errorKind(problem.path("kind").asText()), problem.path("detail").asText());
  }

  private URI uri(String path) {
    try {
      return URI.create("http://" + node + path);
    } catch (IllegalArgumentException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "--node must be HOST:PORT, not \"" + node + "\"", e);
    }
  }

  private static boolean isProblemDocument(HttpResponse<byte[]> response) {
    String type = response.headers().firstValue("Content-Type").orElse("");
    return type.startsWith(Problem.CONTENT_TYPE);
  }

  private static ErrorKind errorKind(String headerValue) {
    try {
      return ErrorKind.valueOf(headerValue.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      return ErrorKind.INTERNAL;
    }
  }
}
