package io.foxtaildoor.standins.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamStandIn} over HTTP. */
public class UpstreamStandInTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int TIMEOUT_SECONDS = 20;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private StandInOptions options;
  private UpstreamStandIn standIn;
  private String baseUrl;

  @BeforeMethod
  public void start() throws IOException {
    options = new StandInOptions();
    options.slots = 2;
    options.queue = 1;
    options.serviceTimeMillis = 1;
    standIn = new UpstreamStandIn(options);
    baseUrl = "http://127.0.0.1:" + standIn.start().getPort();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    standIn.close();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(baseUrl + path));
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.build(), BodyHandlers.ofString());
  }

  private JsonNode getJson(String path) throws Exception {
    return MAPPER.readTree(send(request(path)).body());
  }

  private void setFaults(String document) throws Exception {
    HttpRequest.Builder control =
        request("/standin/control").POST(HttpRequest.BodyPublishers.ofString(document));
    assertEquals(send(control).statusCode(), 200);
  }

  private void awaitCount(String path, String name, int count) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (getJson(path).get(name).asInt() < count) {
      assertTrue(System.nanoTime() < end, "timed out while waiting for the count " + name);
    }
  }

  /** Guards against a repeated execution of a request that the stand-in does not count. */
  @Test
  public void echoesRequestsAndCountsDuplicateExecutions() throws Exception {
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response =
          send(
              request("/book?x=1")
                  .header("x-echo-id", "e-1")
                  .header("foxtaildoor-request-id", "r-" + i)
                  .POST(HttpRequest.BodyPublishers.ofString("body")));
      assertEquals(response.headers().firstValue("x-echo-id").orElseThrow(), "e-1");
      JsonNode echo = MAPPER.readTree(response.body());
      assertEquals(echo.get("requestId").asText(), "r-" + i);
      assertEquals(echo.get("method").asText(), "POST");
      assertEquals(echo.get("path").asText(), "/book?x=1");
      assertEquals(echo.get("body").asText(), "body");
    }
    assertEquals(getJson("/standin/executions?id=e-1").get("completed").asInt(), 2);
    assertEquals(getJson("/standin/executions").get("duplicates").asInt(), 1);
  }

  /**
   * Guards against an unbounded queue, and against slots that stay occupied after their connection
   * was closed.
   */
  @Test
  public void shedsWhenQueueIsFullAndFreesSlotsOfClosedConnections() throws Exception {
    setFaults("{\"hang\":true}");
    List<CompletableFuture<?>> hanging = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hanging.add(client.sendAsync(request("/w").build(), BodyHandlers.ofString()));
    }
    awaitCount("/load", "queued", 1);
    setFaults("{}");
    assertEquals(send(request("/w")).statusCode(), 503);
    hanging.forEach(future -> future.cancel(true));
    awaitCount("/standin/executions", "cancelled", 3);
    assertEquals(send(request("/w")).statusCode(), 200);
  }

  /** Guards against control fields that are accepted but inject no fault. */
  @Test
  public void injectsTheFaultsOfTheControlDocument() throws Exception {
    setFaults("{\"shed\":true}");
    assertEquals(send(request("/w")).statusCode(), 503);
    setFaults("{\"closeMidAnswer\":true}");
    assertThrows(IOException.class, () -> send(request("/w")));
    setFaults("{\"malformed\":true}");
    assertThrows(IOException.class, () -> send(request("/w")));
    setFaults("{\"health\":503,\"load\":77}");
    assertEquals(send(request("/health")).statusCode(), 503);
    assertEquals(getJson("/load").get("inFlight").asInt(), 77);
    setFaults("{\"slowFactor\":400}");
    assertEquals(send(request("/w").header("foxtaildoor-deadline-ms", "1")).statusCode(), 504);
    setFaults("{\"lateMillis\":600}");
    assertEquals(send(request("/w").header("foxtaildoor-deadline-ms", "500")).statusCode(), 200);
  }

  /** Guards against an upstream that remains announced while it drains. */
  @Test
  public void announcesItselfAndWithdrawsWhenDrained() throws Exception {
    BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    HttpServer node =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    node.createContext(
        "/v1/upstream",
        exchange -> {
          byte[] body = exchange.getRequestBody().readAllBytes();
          calls.add(exchange.getRequestMethod() + new String(body, StandardCharsets.UTF_8));
          exchange.sendResponseHeaders(204, -1);
          exchange.close();
        });
    node.start();
    Path portFile = Files.createTempFile("port", "");
    options.announce = "127.0.0.1:" + node.getAddress().getPort();
    options.portFile = portFile;
    try (UpstreamStandIn announced = new UpstreamStandIn(options)) {
      int port = announced.start().getPort();
      assertEquals(Files.readString(portFile), Integer.toString(port));
      assertEquals(
          calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS),
          "PUT{\"service\":\"bookings\",\"address\":\"127.0.0.1:" + port + "\",\"slots\":2}");
      baseUrl = "http://127.0.0.1:" + port;
      send(request("/standin/drain").POST(HttpRequest.BodyPublishers.noBody()));
      String call = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      while (call != null && call.startsWith("PUT")) {
        call = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      assertTrue(call != null && call.startsWith("DELETE"), "the announcement was not withdrawn");
      assertEquals(send(request("/w")).statusCode(), 503);
    } finally {
      node.stop(0);
      Files.delete(portFile);
    }
  }
}
