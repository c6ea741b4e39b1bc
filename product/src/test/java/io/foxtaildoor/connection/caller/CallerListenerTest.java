package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.caller.RawCaller.Reply;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.version.manifest.HeldConfiguration;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link CallerListener} over TCP, with links that the test controls. */
public class CallerListenerTest {
  private static final String CHECK = "GET /check HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final int REPLAY_BYTES = 64 * 1024;

  private CallerFixture fixture;
  private RawCaller caller;

  @BeforeMethod
  public void start() throws IOException {
    fixture = new CallerFixture();
    caller = fixture.caller();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    caller.close();
    fixture.close();
    assertEquals(fixture.invariants.breaches(Invariant.NOT_RUN_IS_TRUE), 0);
    assertEquals(fixture.invariants.breaches(Invariant.HANDED_OVER_ONCE), 0);
  }

  private static String post(String path, String headers, int length) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
        + length
        + "\r\n"
        + headers
        + "\r\n";
  }

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
      {"large header", start + "X-A: " + "a".repeat(40_000) + "\r\n\r\n"},
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
    HeldConfiguration held = fixture.configuration;
    fixture.configuration = HeldConfiguration.EMPTY;
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
      assertEquals(reply.status(), 400);
      assertTrue(slow.isClosedByPeer());
      Reply late = slowBody.send(post("/short", "", 10) + "abc").read();
      assertEquals(late.error(), "timeout");
      strict.links.next().awaitCancelled();
    }
  }

  /** Tests of answers that come late, for another request, or not whole. */
  public static final class Answers extends CallerListenerBase {
    /** Guards against a late answer that is given to the next request on the connection. */
    @Test
    public void lateAnswerGoesToNobody() throws Exception {
      caller().send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
      FakeLinks.Stream late = fixture().links.next();
      Reply timeout = caller().read();
      assertEquals(timeout.status(), 504);
      assertEquals(timeout.outcome(), "unknown");
      late.awaitCancelled();
      caller().send(CHECK);
      FakeLinks.Stream next = fixture().links.next();
      late.answer("late");
      late.fail(ErrorKind.OVERLOADED, true);
      next.answer("own");
      assertEquals(caller().read().body(), "own");
      assertEquals(fixture().metrics.counts().lateAnswers(), 3);
    }

    /** Guards against an answer of another request that a faulty node sends on the stream. */
    @Test
    public void crossedAnswerIsRefused() throws Exception {
      caller().send(post("/book", "foxtaildoor-request-id: mine\r\n", 0));
      fixture().links.next().start(200, true, "foxtaildoor-request-id", "other");
      assertEquals(caller().read().status(), 502);
      assertEquals(fixture().invariants.breaches(Invariant.ANSWER_MATCHES_REQUEST), 1);
    }

    /** Answers that break after their head. */
    @DataProvider
    public Object[][] cuts() {
      return new Object[][] {
        {"chunked", "HTTP/1.1", new String[0]},
        {"length", "HTTP/1.1", new String[] {"content-length", "9"}},
        {"until close", "HTTP/1.0", new String[0]},
      };
    }

    /** Guards against a cut answer that looks whole, and against a second attempt after it. */
    @Test(dataProvider = "cuts")
    public void cutAnswersNeverLookWhole(String name, String version, String[] headers)
        throws Exception {
      caller().send("GET /check " + version + "\r\nHost: h\r\n\r\n");
      FakeLinks.Stream stream = fixture().links.next();
      stream.start(200, false, headers);
      stream.body("part", false);
      stream.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertThrows(IOException.class, () -> caller().read());
      assertEquals(fixture().links.opened.get(), 1, name);
    }

    /** Answers of an upstream that are malformed before a byte was passed on. */
    @Test
    public void malformedAnswersAreNotPassedOn() throws Exception {
      String[][] answers = {
        {"content-length", "x"}, {"content-length", "5", "content-length", "6"}, {"a b", "c"},
      };
      for (String[] headers : answers) {
        caller().send(post("/book", "", 0));
        fixture().links.next().start(200, false, headers);
        assertEquals(caller().read().error(), "bad-upstream-answer");
      }
      caller().send(post("/book", "", 0));
      fixture().links.next().start(101, true);
      assertEquals(caller().read().error(), "bad-upstream-answer");
    }

    /** Guards against streams that go on for a caller that is gone, at each stage. */
    @Test
    public void disconnectCancelsAtEachStage() throws Exception {
      for (String stage : new String[] {"waiting", "sending", "answering"}) {
        try (RawCaller leaving = fixture().caller()) {
          leaving.send(
              stage.equals("sending") ? post("/book", "", 10) + "abc" : post("/book", "", 0));
          FakeLinks.Stream stream = fixture().links.next();
          if (stage.equals("answering")) {
            stream.start(200, false);
            leaving.send(" ");
          }
          leaving.disconnect();
          stream.awaitCancelled();
        }
      }
    }
  }

  /** Tests of failures at each stage, for idempotent and other work. */
  public static final class Failures extends CallerListenerBase {
    /** Path, depth, kind, not run, attempts, status, outcome. */
    @DataProvider
    public Object[][] failures() {
      return new Object[][] {
        {"/book", 0, ErrorKind.OVERLOADED, true, 2, 503, "not-run"},
        {"/book", 9, ErrorKind.NODE_UNREACHABLE, true, 2, 503, "not-run"},
        {"/book", 0, ErrorKind.OUTCOME_UNKNOWN, false, 1, 502, "unknown"},
        {"/book", 0, ErrorKind.OVERLOADED, false, 1, 502, "unknown"},
        {"/book", 0, ErrorKind.EXPIRED, true, 1, 504, "not-run"},
        {"/check", 0, ErrorKind.OUTCOME_UNKNOWN, false, 2, 502, "unknown"},
        {"/check", 1, ErrorKind.OUTCOME_UNKNOWN, false, 1, 502, "unknown"},
        {"/check", 1, ErrorKind.LEAVING, true, 2, 503, "not-run"},
        {"/check", 0, ErrorKind.INTERNAL, false, 1, 500, "unknown"},
        {"/check", 0, ErrorKind.DUPLICATE, true, 1, 409, "unknown"},
      };
    }

    /** Guards against a second run, and against retries elsewhere that are left out. */
    @Test(dataProvider = "failures")
    public void attemptsAndOutcome(
        String path,
        int depth,
        ErrorKind kind,
        boolean notRun,
        int attempts,
        int status,
        String outcome)
        throws Exception {
      caller().send(post(path, "foxtaildoor-depth: " + depth + "\r\n", 3) + "abc");
      FakeLinks.Stream former = null;
      for (int i = 1; i <= attempts; i++) {
        FakeLinks.Stream stream = fixture().links.next();
        assertEquals(stream.head.getAttempt(), i);
        assertEquals(new String(stream.wholeBody(), StandardCharsets.UTF_8), "abc");
        assertTrue(former == null || !former.target.equals(stream.target), "same instance");
        stream.fail(kind, notRun);
        former = stream;
      }
      Reply reply = caller().read();
      assertEquals(reply.status(), status);
      assertEquals(reply.outcome(), outcome);
      assertEquals(fixture().links.opened.get(), attempts);
    }

    /** Guards against "not run" after an attempt whose outcome is unknown. */
    @Test
    public void refusalAfterAnUnknownOutcomeIsUnknown() throws Exception {
      caller().send(CHECK);
      fixture().links.next().fail(ErrorKind.TIMEOUT, false);
      fixture().links.next().fail(ErrorKind.OVERLOADED, true);
      Reply reply = caller().read();
      assertEquals(reply.error(), "outcome-unknown");
      assertEquals(reply.outcome(), "unknown");
    }

    /** Guards against a retry without the part of the body that was dropped. */
    @Test
    public void largeConsumedBodyIsNotReplayed() throws Exception {
      int length = REPLAY_BYTES + 1;
      caller().send(post("/book", "", length + 1) + "a".repeat(length));
      FakeLinks.Stream stream = fixture().links.next();
      stream.awaitBytes(length);
      stream.fail(ErrorKind.OVERLOADED, true);
      Reply reply = caller().read();
      assertEquals(reply.outcome(), "not-run");
      assertEquals(fixture().links.opened.get(), 1);
    }

    /** Guards against a replayed body that lacks its begin or its rest. */
    @Test
    public void smallBodyIsReplayedAndContinued() throws Exception {
      String first = "a".repeat(REPLAY_BYTES - 3);
      caller().send(post("/book", "", REPLAY_BYTES) + first);
      FakeLinks.Stream refused = fixture().links.next();
      refused.awaitBytes(first.length());
      refused.fail(ErrorKind.OVERLOADED, true);
      FakeLinks.Stream stream = fixture().links.next();
      caller().send("bcd");
      assertEquals(new String(stream.wholeBody(), StandardCharsets.UTF_8), first + "bcd");
      stream.answer("ok");
      assertEquals(caller().read().body(), "ok");
    }

    /** Guards against a keyed repeat that runs on another node than the first request. */
    @Test
    public void keyedRequestsStayOnTheirNode() throws Exception {
      String keyed = post("/book", "Idempotency-Key: k1\r\n", 0);
      caller().send(keyed);
      FakeLinks.Stream first = fixture().links.next();
      first.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertEquals(caller().read().outcome(), "unknown");
      fixture().fleet.nodes.addAll(0, java.util.List.of(CallerFixture.node("c")));
      caller().send(keyed);
      FakeLinks.Stream repeat = fixture().links.next();
      assertEquals(repeat.target, first.target);
      assertEquals(repeat.head.getIdempotencyKey(), "k1");
      repeat.fail(ErrorKind.OVERLOADED, true);
      assertEquals(caller().read().outcome(), "not-run");
      fixture().fleet.nodes.remove(first.target);
      assertEquals(caller().send(keyed).read().error(), "outcome-unknown");
      assertEquals(fixture().links.opened.get(), 2);
    }
  }

  /** Tests of flow control and of the graceful stop. */
  public static final class Lifetime extends CallerListenerBase {
    /** Guards against a node that reads more of a body than the stream takes. */
    @Test
    public void blockedStreamStopsReading() throws Exception {
      fixture().links.writable = false;
      int length = CallerFixture.MAX_BODY;
      CompletableFuture<Void> sending =
          CompletableFuture.runAsync(
              () -> {
                try {
                  caller().send(post("/book", "", length)).send(new byte[length]);
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      FakeLinks.Stream stream = fixture().links.next();
      // A request on another connection of the one event loop shows that reading has paused.
      try (RawCaller other = fixture().caller()) {
        other.send(CHECK);
        fixture().links.next().answer("served");
        assertEquals(other.read().body(), "served");
      }
      assertTrue(stream.received().length < length, "the whole body was read");
      fixture().links.writable = true;
      stream.listener.writable();
      assertEquals(stream.wholeBody().length, length);
      sending.get(FakeLinks.GUARD_SECONDS, TimeUnit.SECONDS);
      stream.answer("ok");
      assertEquals(caller().read().body(), "ok");
      stream.awaitConsumed(2);
    }

    /** Guards against a planned stop that cuts requests or accepts new connections. */
    @Test
    public void drainAnswersWhatIsInFlight() throws Exception {
      try (RawCaller idle = fixture().caller()) {
        caller().send(CHECK);
        FakeLinks.Stream stream = fixture().links.next();
        CompletableFuture<Integer> drained = fixture().listener.beginDrain();
        assertTrue(idle.isClosedByPeer());
        stream.answer("last");
        Reply reply = caller().read();
        assertEquals(reply.body(), "last");
        assertEquals(reply.headers().get("connection"), "close");
        assertTrue(caller().isClosedByPeer());
        caller().disconnect();
        idle.disconnect();
        assertEquals(drained.get(FakeLinks.GUARD_SECONDS, TimeUnit.SECONDS), Integer.valueOf(0));
        assertThrows(IOException.class, () -> fixture().caller());
        assertEquals(fixture().invariants.breaches(Invariant.STOP_CUTS_NOTHING), 0);
      }
    }

    /** Guards against a stop that waits for ever, and against a cut that is not reported. */
    @Test
    public void drainEndsAtItsBound() throws Exception {
      try (CallerFixture hanging =
              new CallerFixture(Duration.ofSeconds(10), Duration.ofMillis(100));
          RawCaller waiting = hanging.caller()) {
        waiting.send(CHECK);
        hanging.links.next();
        CompletableFuture<Integer> drained = hanging.listener.beginDrain();
        assertEquals(drained.get(FakeLinks.GUARD_SECONDS, TimeUnit.SECONDS), Integer.valueOf(1));
        assertEquals(hanging.invariants.breaches(Invariant.STOP_CUTS_NOTHING), 1);
      }
    }
  }

  /** Fixture of the nested tests. */
  public abstract static class CallerListenerBase {
    private final CallerListenerTest base = new CallerListenerTest();

    @BeforeMethod
    public void start() throws IOException {
      base.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      base.stop();
    }

    final CallerFixture fixture() {
      return base.fixture;
    }

    final RawCaller caller() {
      return base.caller;
    }
  }
}
