package io.foxtaildoor.process.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

/** HTTP client for calls to ports on the loopback address. */
final class LoopbackHttp {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient CLIENT = createClient();

  private LoopbackHttp() {}

  /** Status code and JSON body of a response. */
  record JsonReply(int status, JsonNode body) {
    String kind() {
      return body.path("kind").asText();
    }
  }

  private static HttpClient createClient() {
    // The HTTP client reads this property only once, when its classes are initialized. Tests must
    // set
    // the Host header, because routes are selected by host name.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(5))
        .build();
  }

  static HttpResponse<String> send(
      String method, int port, String path, Map<String, String> headers, String body)
      throws IOException {
    return send(method, port, path, headers, body, CALL_TIMEOUT);
  }

  static HttpResponse<String> send(
      String method,
      int port,
      String path,
      Map<String, String> headers,
      String body,
      Duration timeout)
      throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(timeout)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    try {
      return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Sends a request to an interface that responds with JSON. */
  static JsonReply sendForJson(
      String method, int port, String path, Map<String, String> headers, String body)
      throws IOException {
    HttpResponse<String> response = send(method, port, path, headers, body);
    return new JsonReply(
        response.statusCode(), Json.tree(response.body().getBytes(StandardCharsets.UTF_8)));
  }
}
