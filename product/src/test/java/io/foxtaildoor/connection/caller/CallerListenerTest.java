package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.caller.RawCaller.Reply;
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

/** Tests of {@link CallerListener} over TCP, with links that the test controls. */
public class CallerListenerTest extends CallerTestBase {
  private void assertServes() throws Exception {
    try (RawCaller other = fixture.caller()) {
      other.send(CHECK);
      fixture.links.next().answer("served");
      assertEquals(other.read().body(), "served");
    }
  }

  /** Requests that another server could read differently, or that break the protocol. */
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

  /** Guards against request smuggling and against malformed requests that reach an upstream. */
  @Test(dataProvider = "malformed")
  public void malformedRequestsAreRefusedAndTheConnectionCloses(String name, String request)
      throws Exception {
    Reply reply = caller.send(request).read();
    assertEquals(reply.status(), 400, name);
    assertEquals(reply.error(), "invalid-input");
    assertEquals(reply.outcome(), "not-run");
    assertEquals(reply.headers().get("connection"), "close");
    assertTrue(caller.isClosedByPeer());
    assertEquals(fixture.links.opened.get(), 0);
  }

  /** Guards against headers beyond the bound that are read on or told as a malformed request. */
  @Test
  public void tooLargeHeadersAreRefused() throws Exception {
    String large = "GET /check HTTP/1.1\r\nHost: h\r\nX-A: " + "a".repeat(40_000) + "\r\n\r\n";
    Reply reply = caller.send(large).read();
    assertEquals(reply.status(), 431);
    assertEquals(reply.error(), "headers-too-large");
    assertEquals(reply.outcome(), "not-run");
    assertTrue(caller.isClosedByPeer());
  }

  /** Guards against bounds of the configuration that are not kept. */
  @Test
  public void configurationBoundsWhatCallersSend() throws Exception {
    fixture.configuration =
        CallerFixture.configuration(
            CallerBounds.newBuilder()
                .setMaxHeaderBytes(1_000)
                .setHeadTimeoutMillis(150)
                .setIdleTimeoutMillis(300)
                .build());
    try (RawCaller large = fixture.caller();
        RawCaller slow = fixture.caller();
        RawCaller idle = fixture.caller()) {
      String header = "X-A: " + "a".repeat(1_500) + "\r\n";
      assertEquals(
          large.send("GET /check HTTP/1.1\r\nHost: h\r\n" + header + "\r\n").read().status(), 431);
      Reply late = slow.send("GET /check HTTP/1.1\r\nHo").read();
      assertEquals(late.status(), 408);
      assertEquals(late.error(), "head-timeout");
      assertEquals(late.outcome(), "not-run");
      assertTrue(idle.isClosedByPeer());
    }
    assertEquals(fixture.links.opened.get(), 0);
  }

  /**
   * Guards against refused callers that keep their connections and come back on new ones until the
   * process has no descriptors left.
   */
  @Test
  public void crowdedListenerClosesRefusedConnections() throws Exception {
    String unknown = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    try (CallerFixture crowded = new CallerFixture(4);
        RawCaller first = crowded.caller()) {
      Reply kept = first.send(unknown).read();
      assertNull(kept.headers().get("connection"), "one of four connections is open");
      try (RawCaller second = crowded.caller();
          RawCaller third = crowded.caller()) {
        Reply closed = second.send(unknown).read();
        assertEquals(closed.status(), 404);
        assertEquals(closed.headers().get("connection"), "close");
        assertTrue(second.isClosedByPeer());
        assertTrue(third.isClosedByPeer(), "an idle connection is closed while many are open");
      }
    }
  }

  /**
   * Guards against a surge of connections that a busy event loop accepts a few at a time, so that
   * callers have left before their requests are read.
   */
  @Test
  public void surgeOfConnectionsIsAcceptedWithinFewTurnsOfTheLoop() throws Exception {
    int surge = 320;
    int fewTurns = 10;
    CountDownLatch connected = new CountDownLatch(1);
    AtomicInteger turns = new AtomicInteger();
    List<RawCaller> callers = new ArrayList<>();
    fixture.onLoop(() -> awaitOnLoop(connected));
    try {
      for (int i = 0; i < surge; i++) {
        callers.add(fixture.caller());
      }
      CompletableFuture<Integer> needed = new CompletableFuture<>();
      fixture.onLoop(() -> countTurn(turns, surge, needed));
      connected.countDown();
      int count = needed.get(20, TimeUnit.SECONDS);
      assertTrue(count <= fewTurns, count + " turns");
    } finally {
      connected.countDown();
      for (RawCaller each : callers) {
        each.close();
      }
    }
  }

  /** Guards against work for a caller that left while its request waited for a late event loop. */
  @Test
  public void requestOfACallerThatLeftUnreadIsNotSentOn() throws Exception {
    for (int i = 0; i < 50; i++) {
      fixture.guard.sampled(TimeUnit.MILLISECONDS.toNanos(150));
    }
    CountDownLatch sent = new CountDownLatch(1);
    fixture.onLoop(() -> awaitOnLoop(sent));
    try (RawCaller leaving = fixture.caller()) {
      leaving.send(CHECK);
    }
    sent.countDown();
    assertServes();
    assertEquals(fixture.links.opened.get(), 1, "only the request of the caller that waits");
  }

  private void countTurn(AtomicInteger turns, int wanted, CompletableFuture<Integer> needed) {
    if (fixture.listener.connections() >= wanted) {
      needed.complete(turns.get());
      return;
    }
    turns.incrementAndGet();
    // A delay makes the loop look at its sockets before the next turn.
    fixture.afterTurn(() -> countTurn(turns, wanted, needed));
  }

  private static void awaitOnLoop(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Chunks that another server could frame differently. */
  @DataProvider
  public Object[][] malformedChunks() {
    return new Object[][] {
      {"ZZ\r\nabc\r\n"}, {"-1\r\nabc\r\n"}, {"0x3\r\nabc\r\n"}, {"+3\r\nabc\r\n"},
      {"3\nabc\r\n"}, {"3\r\nabcXX"}, {"\r\nabc\r\n"}, {"3 3\r\nabc\r\n"},
      {"fffffffff\r\nabc\r\n"},
    };
  }

  /** Guards against a request that is hidden behind a malformed chunk. */
  @Test(dataProvider = "malformedChunks")
  public void malformedChunksEndTheConnection(String chunk) throws Exception {
    String head = "POST /check HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    Reply reply = caller.send(head + chunk + "0\r\n\r\n" + CHECK).read();
    assertEquals(reply.status(), 400);
    assertEquals(reply.outcome(), "unknown");
    assertTrue(caller.isClosedByPeer());
    fixture.links.next().awaitCancelled();
    assertEquals(fixture.links.opened.get(), 1);
  }

  /** Guards against a listener that stops serving after any input; 200 seeded inputs. */
  @Test
  public void randomBytesHarmNobody() throws Exception {
    Random random = new Random(17);
    byte[] valid = post("/nowhere", "X-A: b\r\n", 5).getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < 200; i++) {
      byte[] input = valid.clone();
      int changes = 1 + random.nextInt(valid.length);
      for (int j = 0; j < changes; j++) {
        input[random.nextInt(input.length)] = (byte) random.nextInt(256);
      }
      try (RawCaller other = fixture.caller()) {
        other.send(input);
      }
    }
    assertServes();
    assertEquals(fixture.links.opened.get(), 1);
  }

  /** Guards against refusals without their kind, and against lost connections after them. */
  @Test
  public void refusalsHaveTheirKindAndKeepTheConnection() throws Exception {
    Map<String, ErrorKind> refusals = new TreeMap<>();
    refusals.put("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", ErrorKind.NOT_FOUND);
    refusals.put("GET /closed HTTP/1.1\r\nHost: h\r\n\r\n", ErrorKind.CALLER_NOT_ALLOWED);
    refusals.put(
        "GET /closed HTTP/1.1\r\nHost: h\r\nfoxtaildoor-caller: desk\r\n\r\n",
        ErrorKind.NO_UPSTREAM);
    refusals.put(
        "GET /check HTTP/1.1\r\nHost: h\r\nfoxtaildoor-deadline-ms: 0\r\n\r\n", ErrorKind.EXPIRED);
    refusals.put(post("/none", "", 3) + "abc", ErrorKind.NOT_FOUND);
    for (Map.Entry<String, ErrorKind> refusal : refusals.entrySet()) {
      Reply reply = caller.send(refusal.getKey()).read();
      assertEquals(reply.error(), refusal.getValue().headerValue());
      assertEquals(reply.status(), refusal.getValue().status());
      assertEquals(reply.outcome(), "not-run");
      assertEquals(reply.headers().get("content-type"), "application/problem+json");
    }
    ConfigurationSnapshot held = fixture.configuration;
    fixture.configuration = ConfigurationSnapshot.EMPTY;
    assertEquals(caller.send(CHECK).read().error(), "not-ready");
    fixture.configuration = held;
    caller.send(CHECK);
    fixture.links.next().answer("served");
    assertEquals(caller.read().body(), "served");
  }

  /** Guards against headers that leak between connections, and lost ones. */
  @Test
  public void headIsPassedOnWithoutHopByHopHeaders() throws Exception {
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
    FakeLinks.Stream stream = fixture.links.next();
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
    stream.start(
        200, true, "Connection", "x-back", "X-Back", "1", "foxtaildoor-outcome", "not-run");
    Reply reply = caller.read();
    assertNull(reply.headers().get("x-back"));
    assertNull(reply.outcome(), "an upstream cannot claim that a request has not run");
    assertEquals(reply.headers().get("foxtaildoor-request-id"), "r-1");
  }

  /** Guards against answers in the wrong order, or requests that overtake each other. */
  @Test
  public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    caller.send(post("/book/0", "", 2) + "ab" + post("/book/1", "", 2) + "cd" + CHECK);
    for (int i = 0; i < 3; i++) {
      FakeLinks.Stream stream = fixture.links.next();
      assertEquals(fixture.links.opened.get(), i + 1);
      stream.wholeBody();
      stream.answer(stream.head.getTarget());
    }
    assertEquals(caller.read().body(), "/book/0");
    assertEquals(caller.read().body(), "/book/1");
    assertEquals(caller.read().body(), "/check");
  }

  /** Guards against the body of a HEAD answer, and against a lost 100 or chunked body. */
  @Test
  public void methodsAndFramings() throws Exception {
    caller.send("HEAD /check HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.links.next().start(200, true, "content-length", "77");
    assertEquals(caller.read(true).headers().get("content-length"), "77");
    caller.send(post("/book", "Expect: 100-continue\r\n", 3));
    assertEquals(caller.read().status(), 100);
    caller.send("abc");
    FakeLinks.Stream stream = fixture.links.next();
    assertEquals(new String(stream.wholeBody(), StandardCharsets.UTF_8), "abc");
    stream.start(200, false);
    stream.body("chu", false);
    stream.body("nked", true);
    Reply reply = caller.read();
    assertEquals(reply.headers().get("transfer-encoding"), "chunked");
    assertEquals(reply.body(), "chunked");
    caller.send("GET /check HTTP/1.0\r\nHost: h\r\n\r\n");
    stream = fixture.links.next();
    stream.start(200, false);
    stream.body("until close", true);
    assertEquals(caller.read().body(), "until close");
  }

  /** Guards against bodies above the limit of the route, with and without a known length. */
  @Test
  public void bodiesAboveTheLimitAreRefused() throws Exception {
    Reply known = caller.send(post("/book", "", CallerFixture.MAX_BODY + 1)).read();
    assertEquals(known.status(), 413);
    assertEquals(known.outcome(), "not-run");
    assertEquals(fixture.links.opened.get(), 0);
    try (RawCaller other = fixture.caller()) {
      String chunk = "8000\r\n" + "a".repeat(0x8000) + "\r\n";
      other.send("POST /book HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      other.send(chunk.repeat(9));
      Reply chunked = other.read();
      assertEquals(chunked.status(), 413);
      assertEquals(chunked.outcome(), "unknown");
      fixture.links.next().awaitCancelled();
    }
  }

  /** Guards against slow senders that hold a connection for ever. */
  @Test
  public void slowSendersAreCutOff() throws Exception {
    try (CallerFixture strict = new CallerFixture(Duration.ofMillis(100), Duration.ofSeconds(30));
        RawCaller slow = strict.caller();
        RawCaller slowBody = strict.caller()) {
      Reply reply = slow.send("GET /check HTTP/1.1\r\nHo").read();
      assertEquals(reply.status(), 408);
      assertTrue(slow.isClosedByPeer());
      Reply late = slowBody.send(post("/short", "", 10) + "abc").read();
      assertEquals(late.error(), "timeout");
      strict.links.next().awaitCancelled();
    }
  }
}
