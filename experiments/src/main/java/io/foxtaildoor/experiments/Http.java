package io.foxtaildoor.experiments;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** HTTP client for processes on loopback. */
final class Http {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int SHORT_TIMEOUT_MILLIS = 2_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  JsonNode getJson(int port, String path) {
    return sendJson("GET", port, path, Map.of(), "");
  }

  /**
   * Makes one call and parses the answer as JSON.
   *
   * @throws IllegalStateException when the status is 400 or above, or when there is no answer
   */
  JsonNode sendJson(
      String method, int port, String path, Map<String, String> headers, String body) {
    HttpRequest.Builder request =
        requestBuilder(port, path).method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() >= 400) {
        throw new IllegalStateException(
            path + ": status " + response.statusCode() + " " + response.body());
      }
      return JSON.readTree(response.body());
    } catch (IOException e) {
      throw new IllegalStateException(path + " was not answered", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /**
   * Sends one request on a plain socket, so that the start-up of a client library adds no time.
   *
   * @throws IllegalStateException when the status of the answer is not 200
   */
  static void sendOnPlainSocket(int port, String host, String path) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      String request = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      String line = new String(status, StandardCharsets.US_ASCII);
      if (!line.endsWith(" 200")) {
        throw new IllegalStateException("the first request was answered with " + line);
      }
    }
  }

  /** Makes one call on a plain socket and returns the status; 0 when there is no answer. */
  static int statusOnPlainSocket(int port, String method, String path) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(SHORT_TIMEOUT_MILLIS);
      String request = method + " " + path + " HTTP/1.1\r\nHost: node\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      String status = new String(line, StandardCharsets.US_ASCII);
      return status.startsWith("HTTP/1.1 ") ? Integer.parseInt(status.substring(9)) : 0;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Starts a GET call; its future yields the body, or an empty text when the call fails. */
  CompletableFuture<String> getTextAsync(int port, String path) {
    return client
        .sendAsync(requestBuilder(port, path).build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(HttpResponse::body)
        .exceptionally(failure -> "");
  }

  private static HttpRequest.Builder requestBuilder(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).timeout(TIMEOUT);
  }
}
