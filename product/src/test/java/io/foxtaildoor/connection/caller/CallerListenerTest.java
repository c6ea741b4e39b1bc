package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.caller.RawCaller.Response;
import io.foxtaildoor.protocol.CallerBounds;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CallerListener} over TCP, with fake links that the test controls. */
public class CallerListenerTest extends CallerTestBase {
  private void assertListenerServes() throws Exception {
    try (RawCaller other = fixture.connectCaller()) {
      other.send(CHECK_REQUEST);
      fixture.linkClient.nextStream().sendResponse("served");
      assertEquals(other.readResponse().body(), "served");
    }
  }

  /** Requests that another server could interpret differently, or that violate the protocol. */
  @DataProvider
  public Object[][] malformed() {
    String start = "POST /check HTTP/1.1\r\nHost: h\r\n";
    return new Object[][] {
      {"two framings", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"two lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"},
      {"equal lengths", start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {"list of lengths", start + "Content-Length: 3, 3\r\n\r\nabc"},
      {"signed length", start + "Content-Length: +3\r\n\r\nabc"},
      {"negative length", start + "Content-Length: -1\r\n\r\n"},
      {"space before colon", start + "Content-Length : 3\r\n\r\nabc"},
      {"other encoding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"hidden encoding", start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"two encodings", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n"},
      {"encoding in 1.0", "POST /check HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"bare line feed", "GET /check HTTP/1.1\nHost: h\n\n"},
      {"folded header", start + "X-A: b\r\n c: d\r\nContent-Length\r\n : 3\r\n\r\n"},
      {"no host", "GET /check HTTP/1.1\r\n\r\n"},
      {"two hosts", "GET /check HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"},
      {"bad host", "GET /check HTTP/1.1\r\nHost: h/x@y\r\n\r\n"},
      {"other authority", "GET http://i/check HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"dot segments", "GET /check/../book HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"escaped dots", "GET /check/%2e%2E%2fbook HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"backslash", "GET /check\\..\\book HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"connect", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n"},
      {"version", "GET /check HTTP/3.0\r\nHost: h\r\n\r\n"},
      {"long line", "GET /check" + "a".repeat(9_000) + " HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"removed host", "GET /check HTTP/1.1\r\nHost: h\r\nConnection: host\r\n\r\n"},
      {"deadline", "GET /check HTTP/1.1\r\nHost: h\r\nfoxtaildoor-deadline-ms: -5\r\n\r\n"},
      {"depth", "GET /check HTTP/1.1\r\nHost: h\r\nfoxtaildoor-depth: 28\r\n\r\n"},
      {"two keys", start + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n"},
      {"expectation", start + "Expect: coffee\r\n\r\n"},
    };
  }

  /** Guards against request smuggling and against forwarding a malformed request to an upstream. */
  @Test(dataProvider = "malformed")
  public void malformedRequestsAreRefusedAndTheConnectionCloses(String name, String request)
      throws Exception {
    Response response = caller.send(request).readResponse();
    assertEquals(response.status(), 400, name);
    assertEquals(response.error(), "invalid-input");
    assertEquals(response.outcome(), "not-run");
    assertEquals(response.headers().get("connection"), "close");
    assertTrue(caller.isClosedByPeer());
    assertEquals(fixture.linkClient.openedStreams.get(), 0);
  }

  /**
   * Guards against reading headers beyond the limit, and against reporting them as a malformed
   * request.
   */
  @Test
  public void tooLargeHeadersAreRefused() throws Exception {
    String large = "GET /check HTTP/1.1\r\nHost: h\r\nX-A: " + "a".repeat(40_000) + "\r\n\r\n";
    Response response = caller.send(large).readResponse();
    assertEquals(response.status(), 431);
    assertEquals(response.error(), "headers-too-large");
    assertEquals(response.outcome(), "not-run");
    assertTrue(caller.isClosedByPeer());
  }

  /** Guards against a listener that ignores the caller limits of the configuration. */
  @Test
  public void configuredCallerLimitsAreEnforced() throws Exception {
    fixture.configuration =
        CallerFixture.configuration(
            CallerBounds.newBuilder()
                .setMaxHeaderBytes(1_000)
                .setHeadTimeoutMillis(150)
                .setIdleTimeoutMillis(300)
                .build());
    try (RawCaller large = fixture.connectCaller();
        RawCaller slow = fixture.connectCaller();
        RawCaller idle = fixture.connectCaller()) {
      String header = "X-A: " + "a".repeat(1_500) + "\r\n";
      assertEquals(
          large
              .send("GET /check HTTP/1.1\r\nHost: h\r\n" + header + "\r\n")
              .readResponse()
              .status(),
          431);
      Response late = slow.send("GET /check HTTP/1.1\r\nHo").readResponse();
      assertEquals(late.status(), 408);
      assertEquals(late.error(), "head-timeout");
      assertEquals(late.outcome(), "not-run");
      assertTrue(idle.isClosedByPeer());
    }
    assertEquals(fixture.linkClient.openedStreams.get(), 0);
  }

  /**
   * Guards against running out of file descriptors when refused callers keep their connections open
   * and retry on new ones.
   */
  @Test
  public void refusedAndIdleConnectionsCloseWhenManyAreOpen() throws Exception {
    String unknown = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    try (CallerFixture limited = new CallerFixture(4);
        RawCaller first = limited.connectCaller()) {
      Response kept = first.send(unknown).readResponse();
      assertNull(
          kept.headers().get("connection"),
          "only one of four connections is open, so it must stay open");
      try (RawCaller second = limited.connectCaller();
          RawCaller third = limited.connectCaller()) {
        Response closed = second.send(unknown).readResponse();
        assertEquals(closed.status(), 404);
        assertEquals(closed.headers().get("connection"), "close");
        assertTrue(second.isClosedByPeer());
        assertTrue(third.isClosedByPeer(), "an idle connection must be closed while many are open");
      }
    }
  }

  /**
   * Guards against a busy event loop that accepts only a few connections per iteration. In a burst
   * of connections, callers would then time out before their requests are read.
   */
  @Test
  public void connectionBurstIsAcceptedWithinFewLoopIterations() throws Exception {
    int connectionCount = 320;
    int maxIterations = 10;
    CountDownLatch connected = new CountDownLatch(1);
    AtomicInteger iterations = new AtomicInteger();
    List<RawCaller> callers = new ArrayList<>();
    fixture.runOnEventLoop(() -> awaitLatch(connected));
    try {
      for (int i = 0; i < connectionCount; i++) {
        callers.add(fixture.connectCaller());
      }
      CompletableFuture<Integer> needed = new CompletableFuture<>();
      fixture.runOnEventLoop(() -> countLoopIterations(iterations, connectionCount, needed));
      connected.countDown();
      int count = needed.get(20, TimeUnit.SECONDS);
      assertTrue(count <= maxIterations, count + " event loop iterations");
    } finally {
      connected.countDown();
      for (RawCaller each : callers) {
        each.close();
      }
    }
  }

  /**
   * Guards against forwarding a request whose caller disconnected while the request waited for an
   * overloaded event loop.
   */
  @Test
  public void unreadRequestOfDisconnectedCallerIsNotForwarded() throws Exception {
    for (int i = 0; i < 50; i++) {
      fixture.processorGuard.recordDelay(TimeUnit.MILLISECONDS.toNanos(150));
    }
    CountDownLatch sent = new CountDownLatch(1);
    fixture.runOnEventLoop(() -> awaitLatch(sent));
    try (RawCaller leaving = fixture.connectCaller()) {
      leaving.send(CHECK_REQUEST);
    }
    sent.countDown();
    assertListenerServes();
    assertEquals(
        fixture.linkClient.openedStreams.get(),
        1,
        "only the request of the connected caller must be forwarded");
  }

  private void countLoopIterations(
      AtomicInteger iterations, int wanted, CompletableFuture<Integer> needed) {
    if (fixture.listener.connectionCount() >= wanted) {
      needed.complete(iterations.get());
      return;
    }
    iterations.incrementAndGet();
    // A delay makes the event loop poll its sockets before the next iteration.
    fixture.runAfterSocketEvents(() -> countLoopIterations(iterations, wanted, needed));
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Chunks whose framing another server could interpret differently. */
  @DataProvider
  public Object[][] malformedChunks() {
    return new Object[][] {
      {"ZZ\r\nabc\r\n"}, {"-1\r\nabc\r\n"}, {"0x3\r\nabc\r\n"}, {"+3\r\nabc\r\n"},
      {"3\nabc\r\n"}, {"3\r\nabcXX"}, {"\r\nabc\r\n"}, {"3 3\r\nabc\r\n"},
      {"fffffffff\r\nabc\r\n"},
    };
  }

  /** Guards against serving a request that is smuggled behind a malformed chunk. */
  @Test(dataProvider = "malformedChunks")
  public void malformedChunksCloseTheConnection(String chunk) throws Exception {
    String head = "POST /check HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    Response response = caller.send(head + chunk + "0\r\n\r\n" + CHECK_REQUEST).readResponse();
    assertEquals(response.status(), 400);
    assertEquals(response.outcome(), "unknown");
    assertTrue(caller.isClosedByPeer());
    fixture.linkClient.nextStream().awaitCancelled();
    assertEquals(fixture.linkClient.openedStreams.get(), 1);
  }

  /**
   * Guards against input that makes the listener stop serving: 200 random mutations of a valid
   * request, with a fixed seed.
   */
  @Test
  public void listenerKeepsServingAfterRandomInput() throws Exception {
    Random random = new Random(17);
    byte[] valid =
        postRequestHead("/nowhere", "X-A: b\r\n", 5).getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < 200; i++) {
      byte[] input = valid.clone();
      int changes = 1 + random.nextInt(valid.length);
      for (int j = 0; j < changes; j++) {
        input[random.nextInt(input.length)] = (byte) random.nextInt(256);
      }
      try (RawCaller other = fixture.connectCaller()) {
        other.send(input);
      }
    }
    assertListenerServes();
    assertEquals(fixture.linkClient.openedStreams.get(), 1);
  }

  /**
   * Guards against refusals that do not report their kind, and against closing the connection after
   * them.
   */
  @Test
  public void refusalsReportTheirKindAndKeepTheConnectionOpen() throws Exception {
    Map<String, ErrorKind> refusals = new TreeMap<>();
    refusals.put("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", ErrorKind.NOT_FOUND);
    refusals.put("GET /closed HTTP/1.1\r\nHost: h\r\n\r\n", ErrorKind.CALLER_NOT_ALLOWED);
    refusals.put(
        "GET /closed HTTP/1.1\r\nHost: h\r\nfoxtaildoor-caller: desk\r\n\r\n",
        ErrorKind.NO_UPSTREAM);
    refusals.put(
        "GET /check HTTP/1.1\r\nHost: h\r\nfoxtaildoor-deadline-ms: 0\r\n\r\n", ErrorKind.EXPIRED);
    refusals.put(postRequestHead("/none", "", 3) + "abc", ErrorKind.NOT_FOUND);
    for (Map.Entry<String, ErrorKind> refusal : refusals.entrySet()) {
      Response response = caller.send(refusal.getKey()).readResponse();
      assertEquals(response.error(), refusal.getValue().headerValue());
      assertEquals(response.status(), refusal.getValue().status());
      assertEquals(response.outcome(), "not-run");
      assertEquals(response.headers().get("content-type"), "application/problem+json");
    }
    ConfigurationSnapshot original = fixture.configuration;
    fixture.configuration = ConfigurationSnapshot.EMPTY;
    assertEquals(caller.send(CHECK_REQUEST).readResponse().error(), "not-ready");
    fixture.configuration = original;
    caller.send(CHECK_REQUEST);
    fixture.linkClient.nextStream().sendResponse("served");
    assertEquals(caller.readResponse().body(), "served");
  }

  /**
   * Guards against forwarding headers that concern only one connection, and against dropping
   * end-to-end headers.
   */
  @Test
  public void requestHeadIsForwardedWithoutHopByHopHeaders() throws Exception {
    caller.send(
        String.join(
            "\r\n",
            "GET http://h/%63heck/x?q=%2F HTTP/1.1",
            "Host: h",
            "Connection: x-hop",
            "X-Hop: 1",
            "TE: trailers",
            "X-End: 2",
            "foxtaildoor-depth: 4",
            "foxtaildoor-rank: URGENT",
            "foxtaildoor-deadline-ms: 5000",
            "foxtaildoor-request-id: r-1",
            "",
            ""));
    FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
    assertEquals(stream.head.getTarget(), "/%63heck/x?q=%2F");
    assertEquals(stream.head.getRoute(), "check");
    assertEquals(stream.head.getRequestId(), "r-1");
    assertEquals(stream.head.getDepth(), 4);
    assertEquals(stream.head.getRank().name(), "HIGH");
    assertEquals(stream.head.getConfigVersion(), 1);
    assertTrue(stream.head.getRemainingMicros() <= 5_000_000);
    assertEquals(
        stream.head.getHeadersList().stream().map(h -> h.getName()).sorted().toList().toString(),
        "[host, x-end]");
    stream.sendHead(
        200, true, "Connection", "x-back", "X-Back", "1", "foxtaildoor-outcome", "not-run");
    Response response = caller.readResponse();
    assertNull(response.headers().get("x-back"));
    assertNull(response.outcome(), "an upstream cannot claim that a request has not run");
    assertEquals(response.headers().get("foxtaildoor-request-id"), "r-1");
  }

  /**
   * Guards against responses in the wrong order, and against sending a pipelined request before the
   * previous one is answered.
   */
  @Test
  public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    caller.send(
        postRequestHead("/book/0", "", 2)
            + "ab"
            + postRequestHead("/book/1", "", 2)
            + "cd"
            + CHECK_REQUEST);
    for (int i = 0; i < 3; i++) {
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      assertEquals(fixture.linkClient.openedStreams.get(), i + 1);
      stream.awaitWholeBody();
      stream.sendResponse(stream.head.getTarget());
    }
    assertEquals(caller.readResponse().body(), "/book/0");
    assertEquals(caller.readResponse().body(), "/book/1");
    assertEquals(caller.readResponse().body(), "/check");
  }

  /**
   * Guards against a body in a HEAD response, a missing 100 (Continue) response, and a lost body
   * with chunked framing or, in HTTP/1.0, framed by the close.
   */
  @Test
  public void headContinueChunkedAndHttp10RequestsAreServed() throws Exception {
    caller.send("HEAD /check HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.linkClient.nextStream().sendHead(200, true, "content-length", "77");
    assertEquals(caller.readResponse(true).headers().get("content-length"), "77");
    caller.send(postRequestHead("/book", "Expect: 100-continue\r\n", 3));
    assertEquals(caller.readResponse().status(), 100);
    caller.send("abc");
    FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
    assertEquals(new String(stream.awaitWholeBody(), StandardCharsets.UTF_8), "abc");
    stream.sendHead(200, false);
    stream.sendBody("chu", false);
    stream.sendBody("nked", true);
    Response response = caller.readResponse();
    assertEquals(response.headers().get("transfer-encoding"), "chunked");
    assertEquals(response.body(), "chunked");
    caller.send("GET /check HTTP/1.0\r\nHost: h\r\n\r\n");
    stream = fixture.linkClient.nextStream();
    stream.sendHead(200, false);
    stream.sendBody("until close", true);
    assertEquals(caller.readResponse().body(), "until close");
  }

  /**
   * Guards against accepting bodies above the limit of the route, with and without a declared
   * length.
   */
  @Test
  public void bodiesAboveTheLimitAreRefused() throws Exception {
    Response known =
        caller.send(postRequestHead("/book", "", CallerFixture.MAX_BODY_BYTES + 1)).readResponse();
    assertEquals(known.status(), 413);
    assertEquals(known.outcome(), "not-run");
    assertEquals(fixture.linkClient.openedStreams.get(), 0);
    try (RawCaller other = fixture.connectCaller()) {
      String chunk = "8000\r\n" + "a".repeat(0x8000) + "\r\n";
      other.send("POST /book HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      other.send(chunk.repeat(9));
      Response chunked = other.readResponse();
      assertEquals(chunked.status(), 413);
      assertEquals(chunked.outcome(), "unknown");
      fixture.linkClient.nextStream().awaitCancelled();
    }
  }

  /** Guards against slow senders that occupy a connection forever. */
  @Test
  public void slowSendersTimeOut() throws Exception {
    try (CallerFixture strict = new CallerFixture(Duration.ofMillis(100));
        RawCaller slow = strict.connectCaller();
        RawCaller slowBody = strict.connectCaller()) {
      Response response = slow.send("GET /check HTTP/1.1\r\nHo").readResponse();
      assertEquals(response.status(), 408);
      assertTrue(slow.isClosedByPeer());
      Response late = slowBody.send(postRequestHead("/short", "", 10) + "abc").readResponse();
      assertEquals(late.error(), "timeout");
      strict.linkClient.nextStream().awaitCancelled();
    }
  }
}
