package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.head;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.with;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.upstream.ScriptedUpstream.Script;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import io.foxtaildoor.protocol.RequestStart;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamServer} against a scripted upstream. */
public class UpstreamServerTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private UpstreamFixture fixture;

  @BeforeMethod
  public void start() {
    fixture = new UpstreamFixture(9, Duration.ofSeconds(20));
  }

  @AfterMethod
  public void stop() {
    assertEquals(fixture.invariants.totalBreaches(), 0);
    fixture.close();
  }

  private ScriptedUpstream upstream(Script script) throws IOException {
    ScriptedUpstream upstream = new ScriptedUpstream(script);
    fixture.attach(upstream.address());
    return upstream;
  }

  private static void serve(ScriptedUpstream.Connection connection, String answer)
      throws IOException {
    while (!connection.socket.isClosed()) {
      connection.head();
      connection.write(answer);
    }
  }

  /** Answers each request once it may go on. */
  private static Script held(CountDownLatch received, CountDownLatch go) {
    return connection -> {
      while (true) {
        connection.head();
        received.countDown();
        try {
          go.await();
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
        connection.write(OK);
      }
    };
  }

  @DataProvider
  public Object[][] answers() {
    String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return new Object[][] {
      {"GET", OK, 200, "ok", 1},
      {"GET", chunked + "2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n", 200, "abc", 1},
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 200, "", 1},
      {
        "HEAD", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, "", 1
      },
      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", 1},
      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, "", 1},
      {"GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + OK, 200, "ok", 1},
      {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 200, "ok", 2},
      {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", 2},
      {"GET", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, "", 1},
    };
  }

  /** Guards against a node that states an impossible probability and empties all budgets. */
  @Test
  public void statedProbabilityOfARepeatIsBounded() throws Exception {
    try (ScriptedUpstream upstream = new ScriptedUpstream(to -> serve(to, OK))) {
      fixture.attach(upstream.address());
      for (int permille : new int[] {250, 1_000, 5_000, -1}) {
        UpstreamFixture.Call call =
            fixture.call(UpstreamFixture.head("GET", true).setRepeatPermille(permille));
        assertEquals(UpstreamFixture.await(call.body), "ok");
      }
      assertEquals(fixture.runs, List.of(0.25, 1.0, 1.0, 0.0));
    }
  }

  /** Guards against answers with the wrong body, and reuse of a connection that must close. */
  @Test(dataProvider = "answers")
  public void passesAnswersOn(
      String method, String answer, int status, String body, int connections) throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, answer))) {
      for (int i = 0; i < 2; i++) {
        Call call = fixture.call(head(method, true));
        assertEquals(await(call.head).getStatus(), status);
        assertEquals(await(call.body), body);
        assertTrue(await(call.head).hasLoad());
      }
      assertEquals(upstream.connections.get(), connections);
    }
  }

  /** Guards against a close-delimited answer that never ends or is taken for a broken one. */
  @Test
  public void passesCloseDelimitedAnswers() throws Exception {
    Script script =
        connection -> {
          connection.head();
          connection.write("HTTP/1.1 200 OK\r\n\r\nuntil the end");
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      assertEquals(await(fixture.call(head("GET", true)).body), "until the end");
      assertEquals(upstream.connections.get(), 1);
    }
  }

  @DataProvider
  public Object[][] faults() {
    Script closes = connection -> connection.head();
    Script resets =
        connection -> {
          connection.head();
          connection.reset();
        };
    return new Object[][] {
      {"closed after the head", closes, ErrorKind.OUTCOME_UNKNOWN},
      {"reset after the head", resets, ErrorKind.OUTCOME_UNKNOWN},
      {
        "short body",
        answering("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
        ErrorKind.OUTCOME_UNKNOWN
      },
      {
        "unfinished chunks",
        answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
        ErrorKind.OUTCOME_UNKNOWN
      },
      {"no HTTP", answering("garbage\r\n\r\n"), ErrorKind.BAD_UPSTREAM_ANSWER},
      {
        "bad length",
        answering("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "bad chunk size",
        answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "huge head",
        answering("HTTP/1.1 200 OK\r\nX: " + "y".repeat(70_000) + "\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "switched protocols",
        answering("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
    };
  }

  private static Script answering(String answer) {
    return connection -> {
      connection.head();
      connection.write(answer);
    };
  }

  /** Guards against a second hand-over, or "not run", once the upstream may have run. */
  @Test(dataProvider = "faults")
  public void faultAfterHandOverIsUnknown(String name, Script script, ErrorKind kind)
      throws Exception {
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(head("POST", true));
      assertEquals(call.failedWith(false), kind, name);
      assertEquals(upstream.heads.size(), 1);
      assertFalse(call.body.isDone());
    }
  }

  /** Guards against an unknown outcome when the upstream could not be connected to. */
  @Test
  public void refusedConnectionIsNotRun() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fixture.attach((InetSocketAddress) socket.getLocalSocketAddress());
    }
    assertEquals(fixture.call(head("GET", true)).failedWith(true), ErrorKind.UPSTREAM_UNREACHABLE);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {head("GET", true).setService("other"), ErrorKind.NO_UPSTREAM},
      {head("GET", true).setRemainingMicros(0), ErrorKind.EXPIRED},
      {head("GET", true).setTarget("http://x/"), ErrorKind.INVALID_INPUT},
      {head("GET", true).setTarget("/a b"), ErrorKind.INVALID_INPUT},
      {head("CONNECT", true), ErrorKind.INVALID_INPUT},
      {with(head("GET", true), "X", "a\r\nY: b"), ErrorKind.INVALID_INPUT},
      {with(head("POST", false), "Content-Length", "1, 2"), ErrorKind.INVALID_INPUT},
      {
        with(with(head("POST", false), "Content-Length", "1"), "content-length", "2"),
        ErrorKind.INVALID_INPUT
      },
    };
  }

  /** Guards against malformed requests and those of other services that reach the upstream. */
  @Test(dataProvider = "refusals")
  public void refusesWithoutHandOver(RequestStart.Builder head, ErrorKind kind) throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, OK))) {
      assertEquals(fixture.call(head).failedWith(true), kind);
      assertEquals(upstream.heads.size(), 0);
    }
  }

  /** Guards against hop-by-hop headers that pass, and own headers that are missing. */
  @Test
  public void rewritesHeaders() throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, OK))) {
      RequestStart.Builder head = head("GET", true).setDepth(3).setAttempt(2);
      with(head, "Connection", "x-hop, close");
      with(head, "X-Hop", "1");
      with(head, "TE", "trailers");
      with(head, "Host", "bookings.pamoja");
      with(head, "foxtaildoor-depth", "99");
      await(fixture.call(head).body);
      String sent = upstream.heads.get(0).toLowerCase(Locale.ROOT);
      assertTrue(sent.contains("foxtaildoor-depth: 4\r\n"), sent);
      assertTrue(sent.contains("foxtaildoor-request-id: r\r\n"), sent);
      assertTrue(sent.contains("foxtaildoor-deadline-ms: "), sent);
      assertTrue(sent.contains("host: bookings.pamoja\r\n"), sent);
      assertFalse(sent.contains("x-hop"), sent);
      assertFalse(sent.contains("\r\nte:"), sent);
      assertFalse(sent.contains("connection:"), sent);
    }
  }

  /** Guards against a kept connection that the upstream closed and that fails a request. */
  @Test
  public void replacesConnectionClosedWhileIdle() throws Exception {
    try (ScriptedUpstream upstream =
        upstream(
            connection -> {
              connection.head();
              connection.write(OK);
            })) {
      for (int i = 0; i < 20; i++) {
        Call call = fixture.call(head("GET", true));
        // A close that crosses the request leaves its outcome unknown; it must not be repeated.
        CompletableFuture.anyOf(call.body, call.failure).get(20, TimeUnit.SECONDS);
        assertTrue(call.body.isDone() || call.failedWith(false) == ErrorKind.OUTCOME_UNKNOWN);
      }
      assertTrue(upstream.heads.size() <= 20);
    }
  }

  /** Streams of bodies. */
  @Test
  public void streamsBodiesBothWays() throws Exception {
    String large = "x".repeat(300_000);
    Script script =
        connection -> {
          connection.head();
          byte[] body = connection.body(large.length());
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
          connection.write(body);
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      RequestStart.Builder head = with(head("POST", false), "Content-Length", "300000");
      Call call = fixture.call(head);
      call.send(large.substring(0, 100_000), false);
      call.send(large.substring(100_000), true);
      assertEquals(await(call.body), large);
      assertEquals(call.consumed.get(), large.length());
      assertEquals(upstream.connections.get(), 1);
    }
  }

  /** Guards against an answer that is read without bound for a caller that reads nothing. */
  @Test
  public void slowCallerStopsReading() throws Exception {
    int size = 3 << 20;
    Script script =
        connection -> {
          if (connection.head().contains("/small")) {
            connection.write(OK);
            serve(connection, OK);
            return;
          }
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
          connection.write(new byte[size]);
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = new Call(fixture.group.next());
      call.writable = false;
      call.request = fixture.server.accept(head("GET", true).build(), call);
      await(call.head);
      for (int i = 0; i < 20; i++) {
        // Requests on other connections give the event loop the time to read too much.
        assertEquals(await(fixture.call(head("GET", true).setTarget("/small")).body), "ok");
      }
      assertTrue(call.received.get() <= 128 << 10, "read " + call.received.get());
      call.writable = true;
      call.request.onWritable();
      assertEquals(await(call.body).length(), size);
      assertEquals(upstream.heads.size(), 21);
    }
  }

  /** Guards against reuse of a connection whose request body was not sent to its end. */
  @Test
  public void earlyAnswerEndsTheExchange() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    Script script =
        connection -> {
          connection.head();
          if (connection.number == 1) {
            connection.body(5);
          }
          connection.write(OK);
          if (connection.number == 1) {
            closed.complete(connection.closedByPeer());
          }
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(with(head("POST", false), "Content-Length", "10"));
      call.send("first", false);
      assertEquals(await(call.body), "ok");
      assertTrue(await(closed));
      await(fixture.call(head("GET", true)).body);
      assertEquals(upstream.connections.get(), 2);
    }
  }

  /** Guards against a body that is sent without consent, or not sent after it. */
  @Test
  public void waitsForContinue() throws Exception {
    Script script =
        connection -> {
          String head = connection.head();
          if (head.contains("refuse")) {
            connection.write("HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n");
            assertTrue(connection.closedByPeer());
            return;
          }
          connection.write("HTTP/1.1 100 Continue\r\n\r\n");
          String body = new String(connection.body(4), StandardCharsets.ISO_8859_1);
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + body);
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      RequestStart.Builder head = with(head("PUT", false), "Content-Length", "4");
      Call refused =
          fixture.call(with(head.clone(), "Expect", "100-continue").setTarget("/refuse"));
      refused.send("body", true);
      assertEquals(await(refused.head).getStatus(), 417);
      Call accepted = fixture.call(with(head.clone(), "Expect", "100-continue"));
      accepted.send("body", true);
      assertEquals(await(accepted.body), "body");
      assertEquals(upstream.connections.get(), 2);
    }
  }

  /** Guards against request bodies that do not fit their length and swallow the next request. */
  @Test
  public void wrongBodyLengthBreaksTheExchange() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    Script script =
        connection -> {
          connection.head();
          connection.body(2);
          closed.complete(connection.closedByPeer());
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(with(head("POST", false), "Content-Length", "5"));
      call.send("ab", false);
      while (call.consumed.get() < 2) {
        Thread.onSpinWait();
      }
      call.send("", true);
      assertEquals(call.failedWith(false), ErrorKind.CANCELLED);
      assertTrue(await(closed));
      assertEquals(upstream.heads.size(), 1);
    }
  }

  /** Guards against an upstream that works on for a caller that is gone, and a lost slot. */
  @Test
  public void cancelClosesTheConnection() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    CountDownLatch received = new CountDownLatch(1);
    Script script =
        connection -> {
          connection.head();
          received.countDown();
          closed.complete(connection.closedByPeer());
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(head("GET", true));
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      call.request.onCancelled("test");
      assertTrue(await(closed));
      assertTrue(await(fixture.server.beginDrain(System.nanoTime())));
      assertEquals(upstream.heads.size(), 1);
    }
  }

  /** Guards against an upstream that hangs and holds its slot for ever. */
  @Test
  public void hangingUpstreamIsCutOff() throws Exception {
    fixture.close();
    fixture = new UpstreamFixture(1, Duration.ofMillis(100));
    Script script =
        connection -> {
          connection.head();
          connection.closedByPeer();
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      assertEquals(fixture.call(head("GET", true)).failedWith(false), ErrorKind.TIMEOUT);
      assertEquals(upstream.heads.size(), 1);
    }
  }

  /** Guards against a keyed request that runs twice, and a key lost by a refusal. */
  @Test
  public void keyedRequestRunsOnce() throws Exception {
    try (ScriptedUpstream upstream =
        upstream(
            connection -> {
              while (!connection.head().contains("/break")) {
                connection.write(OK);
              }
            })) {
      RequestStart.Builder head = head("POST", true).setIdempotencyKey("k");
      assertEquals(
          fixture.call(head.clone().setTarget("bad")).failedWith(true), ErrorKind.INVALID_INPUT);
      assertEquals(await(fixture.call(head).body), "ok");
      Call repeat = fixture.call(head);
      assertEquals(await(repeat.body), "ok");
      assertEquals(await(repeat.head).getStatus(), 200);
      RequestStart.Builder broken = head("POST", true).setIdempotencyKey("b").setTarget("/break");
      assertEquals(fixture.call(broken).failedWith(false), ErrorKind.OUTCOME_UNKNOWN);
      assertEquals(fixture.call(broken).failedWith(false), ErrorKind.DUPLICATE);
      assertEquals(upstream.heads.size(), 2);
    }
  }

  /** Guards against new work after a leave or its renewal, and running work that is cut. */
  @Test
  public void drainFinishesWhatRuns() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    try (ScriptedUpstream upstream = upstream(held(received, go))) {
      Call running = fixture.call(head("GET", true));
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      CompletableFuture<Boolean> drained = fixture.server.beginDrain(System.nanoTime());
      fixture.attach(upstream.address());
      assertEquals(fixture.call(head("GET", true)).failedWith(true), ErrorKind.LEAVING);
      assertFalse(drained.isDone());
      go.countDown();
      assertEquals(await(running.body), "ok");
      assertTrue(await(drained));
      assertEquals(upstream.heads.size(), 1);
    }
  }

  /** Guards against more requests at the upstream than its configured slots. */
  @Test
  public void keepsToTheConfiguredSlots() throws Exception {
    CountDownLatch received = new CountDownLatch(2);
    CountDownLatch go = new CountDownLatch(1);
    fixture.close();
    fixture = new UpstreamFixture(2, Duration.ofSeconds(20));
    try (ScriptedUpstream upstream = upstream(held(received, go))) {
      Call[] calls = new Call[6];
      for (int i = 0; i < calls.length; i++) {
        calls[i] = fixture.call(head("GET", true));
      }
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      assertEquals(
          fixture.call(head("GET", true).setService("other")).failedWith(true),
          ErrorKind.NO_UPSTREAM);
      assertEquals(upstream.heads.size(), 2);
      go.countDown();
      for (Call call : calls) {
        assertEquals(await(call.body), "ok");
      }
      assertTrue(upstream.connections.get() <= 2);
    }
  }
}
