package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.requestHead;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.withHeader;
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

  private static void serve(ScriptedUpstream.Connection connection, String response)
      throws IOException {
    while (!connection.socket.isClosed()) {
      connection.readHead();
      connection.write(response);
    }
  }

  /** Counts received requests down, and responds to each only after {@code go} opens. */
  private static Script respondWhenReleased(CountDownLatch received, CountDownLatch go) {
    return connection -> {
      while (true) {
        connection.readHead();
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
  public Object[][] responses() {
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

  /**
   * Guards against a node that sends an impossible repeat probability and so exhausts all retry
   * budgets.
   */
  @Test
  public void repeatProbabilityIsClamped() throws Exception {
    try (ScriptedUpstream upstream = new ScriptedUpstream(to -> serve(to, OK))) {
      fixture.attach(upstream.address());
      for (int permille : new int[] {250, 1_000, 5_000, -1}) {
        UpstreamFixture.Call call =
            fixture.call(UpstreamFixture.requestHead("GET", true).setRepeatPermille(permille));
        assertEquals(UpstreamFixture.await(call.body), "ok");
      }
      assertEquals(fixture.repeatProbabilities, List.of(0.25, 1.0, 1.0, 0.0));
    }
  }

  /** Guards against wrong response bodies, and against reuse of a connection that must close. */
  @Test(dataProvider = "responses")
  public void forwardsResponses(
      String method, String response, int status, String body, int connections) throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, response))) {
      for (int i = 0; i < 2; i++) {
        Call call = fixture.call(requestHead(method, true).setRequestId("r" + i));
        assertEquals(await(call.head).getStatus(), status);
        assertEquals(await(call.body), body);
        assertTrue(await(call.head).hasLoad());
      }
      assertEquals(upstream.connectionCount.get(), connections);
    }
  }

  /** Guards against a response that ends with its connection and is never completed or fails. */
  @Test
  public void forwardsCloseDelimitedResponses() throws Exception {
    Script script =
        connection -> {
          connection.readHead();
          connection.write("HTTP/1.1 200 OK\r\n\r\nuntil the end");
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      assertEquals(await(fixture.call(requestHead("GET", true)).body), "until the end");
      assertEquals(upstream.connectionCount.get(), 1);
    }
  }

  @DataProvider
  public Object[][] faults() {
    Script closes = connection -> connection.readHead();
    Script resets =
        connection -> {
          connection.readHead();
          connection.reset();
        };
    return new Object[][] {
      {"closed after the head", closes, ErrorKind.OUTCOME_UNKNOWN},
      {"reset after the head", resets, ErrorKind.OUTCOME_UNKNOWN},
      {
        "short body",
        respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
        ErrorKind.OUTCOME_UNKNOWN
      },
      {
        "incomplete chunk",
        respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
        ErrorKind.OUTCOME_UNKNOWN
      },
      {"not HTTP", respondOnce("garbage\r\n\r\n"), ErrorKind.BAD_UPSTREAM_ANSWER},
      {
        "malformed length",
        respondOnce("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "malformed chunk size",
        respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "oversized head",
        respondOnce("HTTP/1.1 200 OK\r\nX: " + "y".repeat(70_000) + "\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
      {
        "switched protocols",
        respondOnce("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"),
        ErrorKind.BAD_UPSTREAM_ANSWER
      },
    };
  }

  private static Script respondOnce(String response) {
    return connection -> {
      connection.readHead();
      connection.write(response);
    };
  }

  /**
   * Guards against sending a request again, or reporting it as not run, although it may have run.
   */
  @Test(dataProvider = "faults")
  public void faultAfterSendingIsNeverReportedAsNotRun(String name, Script script, ErrorKind kind)
      throws Exception {
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(requestHead("POST", true));
      assertEquals(call.failedWith(false), kind, name);
      assertEquals(upstream.requestHeads.size(), 1);
      assertFalse(call.body.isDone());
    }
  }

  /** Guards against reporting an unknown outcome when the connection to the upstream failed. */
  @Test
  public void refusedConnectionIsReportedAsNotRun() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fixture.attach((InetSocketAddress) socket.getLocalSocketAddress());
    }
    assertEquals(
        fixture.call(requestHead("GET", true)).failedWith(true), ErrorKind.UPSTREAM_UNREACHABLE);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {requestHead("GET", true).setService("other"), ErrorKind.NO_UPSTREAM},
      {requestHead("GET", true).setRemainingMicros(0), ErrorKind.EXPIRED},
      {requestHead("GET", true).setTarget("http://x/"), ErrorKind.INVALID_INPUT},
      {requestHead("GET", true).setTarget("/a b"), ErrorKind.INVALID_INPUT},
      {requestHead("CONNECT", true), ErrorKind.INVALID_INPUT},
      {withHeader(requestHead("GET", true), "X", "a\r\nY: b"), ErrorKind.INVALID_INPUT},
      {withHeader(requestHead("POST", false), "Content-Length", "1, 2"), ErrorKind.INVALID_INPUT},
      {
        withHeader(
            withHeader(requestHead("POST", false), "Content-Length", "1"), "content-length", "2"),
        ErrorKind.INVALID_INPUT
      },
    };
  }

  /**
   * Guards against sending the upstream malformed or expired requests, or those of other services.
   */
  @Test(dataProvider = "refusals")
  public void refusesInvalidRequestsWithoutSendingThem(RequestStart.Builder head, ErrorKind kind)
      throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, OK))) {
      assertEquals(fixture.call(head).failedWith(true), kind);
      assertEquals(upstream.requestHeads.size(), 0);
    }
  }

  /**
   * Guards against forwarding hop-by-hop headers, and against missing or forged headers of the
   * node.
   */
  @Test
  public void rewritesHeaders() throws Exception {
    try (ScriptedUpstream upstream = upstream(connection -> serve(connection, OK))) {
      RequestStart.Builder head = requestHead("GET", true).setDepth(3).setAttempt(2);
      withHeader(head, "Connection", "x-hop, close");
      withHeader(head, "X-Hop", "1");
      withHeader(head, "TE", "trailers");
      withHeader(head, "Host", "bookings.pamoja");
      withHeader(head, "foxtaildoor-depth", "99");
      await(fixture.call(head).body);
      String sent = upstream.requestHeads.get(0).toLowerCase(Locale.ROOT);
      assertTrue(sent.contains("foxtaildoor-depth: 4\r\n"), sent);
      assertTrue(sent.contains("foxtaildoor-request-id: r\r\n"), sent);
      assertTrue(sent.contains("foxtaildoor-deadline-ms: "), sent);
      assertTrue(sent.contains("host: bookings.pamoja\r\n"), sent);
      assertFalse(sent.contains("x-hop"), sent);
      assertFalse(sent.contains("\r\nte:"), sent);
      assertFalse(sent.contains("connection:"), sent);
    }
  }

  /**
   * Guards against failing a request on a reused connection that the upstream closed while idle.
   */
  @Test
  public void replacesConnectionClosedWhileIdle() throws Exception {
    try (ScriptedUpstream upstream =
        upstream(
            connection -> {
              connection.readHead();
              connection.write(OK);
            })) {
      for (int i = 0; i < 20; i++) {
        Call call = fixture.call(requestHead("GET", true));
        // If the upstream closes while the request is being sent, its outcome is unknown and it
        // must not be repeated.
        CompletableFuture.anyOf(call.body, call.failure).get(20, TimeUnit.SECONDS);
        assertTrue(call.body.isDone() || call.failedWith(false) == ErrorKind.OUTCOME_UNKNOWN);
      }
      assertTrue(upstream.requestHeads.size() <= 20);
    }
  }

  /** Guards against lost body data or consumed bytes, and an extra connection, for large bodies. */
  @Test
  public void streamsBodiesInBothDirections() throws Exception {
    String large = "x".repeat(300_000);
    Script script =
        connection -> {
          connection.readHead();
          byte[] body = connection.readBody(large.length());
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
          connection.write(body);
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      RequestStart.Builder head =
          withHeader(requestHead("POST", false), "Content-Length", "300000");
      Call call = fixture.call(head);
      call.send(large.substring(0, 100_000), false);
      call.send(large.substring(100_000), true);
      assertEquals(await(call.body), large);
      assertEquals(call.consumed.get(), large.length());
      assertEquals(upstream.connectionCount.get(), 1);
    }
  }

  /** Guards against reading a response without bound while the caller accepts no data. */
  @Test
  public void readingPausesForSlowCaller() throws Exception {
    int size = 3 << 20;
    Script script =
        connection -> {
          if (connection.readHead().contains("/small")) {
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
      call.request = fixture.server.accept(requestHead("GET", true).build(), call);
      await(call.head);
      for (int i = 0; i < 20; i++) {
        // Requests on other connections give the event loop time in which it could read too much.
        assertEquals(await(fixture.call(requestHead("GET", true).setTarget("/small")).body), "ok");
      }
      assertTrue(call.received.get() <= 128 << 10, "read " + call.received.get());
      call.writable = true;
      call.request.onWritable();
      assertEquals(await(call.body).length(), size);
      assertEquals(upstream.requestHeads.size(), 21);
    }
  }

  /** Guards against reuse of a connection whose request body was not sent completely. */
  @Test
  public void responseBeforeEndOfRequestBodyEndsExchange() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    Script script =
        connection -> {
          connection.readHead();
          if (connection.number == 1) {
            connection.readBody(5);
          }
          connection.write(OK);
          if (connection.number == 1) {
            closed.complete(connection.closedByPeer());
          }
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(withHeader(requestHead("POST", false), "Content-Length", "10"));
      call.send("first", false);
      assertEquals(await(call.body), "ok");
      assertTrue(await(closed));
      await(fixture.call(requestHead("GET", true)).body);
      assertEquals(upstream.connectionCount.get(), 2);
    }
  }

  /** Guards against sending a body before {@code 100 Continue}, or not sending it afterwards. */
  @Test
  public void waitsForContinue() throws Exception {
    Script script =
        connection -> {
          String head = connection.readHead();
          if (head.contains("refuse")) {
            connection.write("HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n");
            assertTrue(connection.closedByPeer());
            return;
          }
          connection.write("HTTP/1.1 100 Continue\r\n\r\n");
          String body = new String(connection.readBody(4), StandardCharsets.ISO_8859_1);
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + body);
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      RequestStart.Builder head = withHeader(requestHead("PUT", false), "Content-Length", "4");
      Call refused =
          fixture.call(withHeader(head.clone(), "Expect", "100-continue").setTarget("/refuse"));
      refused.send("body", true);
      assertEquals(await(refused.head).getStatus(), 417);
      Call accepted = fixture.call(withHeader(head.clone(), "Expect", "100-continue"));
      accepted.send("body", true);
      assertEquals(await(accepted.body), "body");
      assertEquals(upstream.connectionCount.get(), 2);
    }
  }

  /**
   * Guards against a body shorter than its declared length, which would absorb the next request.
   */
  @Test
  public void wrongBodyLengthAbortsExchange() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    Script script =
        connection -> {
          connection.readHead();
          connection.readBody(2);
          closed.complete(connection.closedByPeer());
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(withHeader(requestHead("POST", false), "Content-Length", "5"));
      call.send("ab", false);
      while (call.consumed.get() < 2) {
        Thread.onSpinWait();
      }
      call.send("", true);
      assertEquals(call.failedWith(false), ErrorKind.CANCELLED);
      assertTrue(await(closed));
      assertEquals(upstream.requestHeads.size(), 1);
    }
  }

  /**
   * Guards against a cancelled request that keeps the upstream working, and that keeps its slot.
   */
  @Test
  public void cancelClosesConnection() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    CountDownLatch received = new CountDownLatch(1);
    Script script =
        connection -> {
          connection.readHead();
          received.countDown();
          closed.complete(connection.closedByPeer());
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      Call call = fixture.call(requestHead("GET", true));
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      call.request.onCancelled("test");
      assertTrue(await(closed));
      assertTrue(await(fixture.server.beginDrain(System.nanoTime())));
      assertEquals(upstream.requestHeads.size(), 1);
    }
  }

  /** Guards against an upstream that hangs and occupies its slot forever. */
  @Test
  public void exchangeWithHangingUpstreamTimesOut() throws Exception {
    fixture.close();
    fixture = new UpstreamFixture(1, Duration.ofMillis(100));
    Script script =
        connection -> {
          connection.readHead();
          connection.closedByPeer();
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      assertEquals(fixture.call(requestHead("GET", true)).failedWith(false), ErrorKind.TIMEOUT);
      assertEquals(upstream.requestHeads.size(), 1);
    }
  }

  /**
   * Guards against running a request with an idempotency key twice, and a key that a refusal uses
   * up.
   */
  @Test
  public void requestWithIdempotencyKeyRunsOnce() throws Exception {
    try (ScriptedUpstream upstream =
        upstream(
            connection -> {
              while (!connection.readHead().contains("/break")) {
                connection.write(OK);
              }
            })) {
      RequestStart.Builder head = requestHead("POST", true).setIdempotencyKey("k");
      assertEquals(
          fixture.call(head.clone().setTarget("bad")).failedWith(true), ErrorKind.INVALID_INPUT);
      assertEquals(await(fixture.call(head).body), "ok");
      Call repeat = fixture.call(head);
      assertEquals(await(repeat.body), "ok");
      assertEquals(await(repeat.head).getStatus(), 200);
      RequestStart.Builder broken =
          requestHead("POST", true).setIdempotencyKey("b").setTarget("/break");
      assertEquals(fixture.call(broken).failedWith(false), ErrorKind.OUTCOME_UNKNOWN);
      assertEquals(fixture.call(broken).failedWith(false), ErrorKind.DUPLICATE);
      assertEquals(upstream.requestHeads.size(), 2);
    }
  }

  /**
   * Guards against new requests after a drain began or the upstream renewed, and aborted running
   * ones.
   */
  @Test
  public void drainLetsRunningRequestsFinish() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    try (ScriptedUpstream upstream = upstream(respondWhenReleased(received, go))) {
      Call running = fixture.call(requestHead("GET", true));
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      CompletableFuture<Boolean> drained = fixture.server.beginDrain(System.nanoTime());
      fixture.attach(upstream.address());
      assertEquals(fixture.call(requestHead("GET", true)).failedWith(true), ErrorKind.LEAVING);
      assertFalse(drained.isDone());
      go.countDown();
      assertEquals(await(running.body), "ok");
      assertTrue(await(drained));
      assertEquals(upstream.requestHeads.size(), 1);
    }
  }

  /**
   * Guards against a second execution: a request refused as leaving moves to another instance,
   * which does not know that a request with the same idempotency key ran here.
   */
  @Test
  public void leavingServerAnswersRequestsWhoseKeyItKnows() throws Exception {
    Script script =
        connection -> {
          connection.readHead();
          connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
          connection.readHead();
        };
    try (ScriptedUpstream upstream = upstream(script)) {
      RequestStart.Builder known = requestHead("POST", true).setIdempotencyKey("k");
      assertEquals(await(fixture.call(known).body), "ok");
      assertTrue(await(fixture.server.beginDrain(System.nanoTime())));
      assertEquals(await(fixture.call(known).body), "ok");
      RequestStart.Builder other = requestHead("POST", true).setIdempotencyKey("other");
      assertEquals(fixture.call(other).failedWith(true), ErrorKind.LEAVING);
      assertEquals(upstream.requestHeads.size(), 1);
    }
  }

  /** Guards against sending the upstream more concurrent requests than its configured slots. */
  @Test
  public void limitsConcurrentRequestsToConfiguredSlots() throws Exception {
    CountDownLatch received = new CountDownLatch(2);
    CountDownLatch go = new CountDownLatch(1);
    fixture.close();
    fixture = new UpstreamFixture(2, Duration.ofSeconds(20));
    try (ScriptedUpstream upstream = upstream(respondWhenReleased(received, go))) {
      Call[] calls = new Call[6];
      for (int i = 0; i < calls.length; i++) {
        calls[i] = fixture.call(requestHead("GET", true).setRequestId("r" + i));
      }
      assertTrue(received.await(UpstreamFixture.WAIT_SECONDS, TimeUnit.SECONDS));
      assertEquals(
          fixture.call(requestHead("GET", true).setService("other")).failedWith(true),
          ErrorKind.NO_UPSTREAM);
      assertEquals(upstream.requestHeads.size(), 2);
      go.countDown();
      for (Call call : calls) {
        assertEquals(await(call.body), "ok");
      }
      assertTrue(upstream.connectionCount.get() <= 2);
    }
  }
}
