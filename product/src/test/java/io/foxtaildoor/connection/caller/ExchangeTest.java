package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.caller.RawCaller.Response;
import io.foxtaildoor.process.invariant.Invariant;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Exchange} over TCP: responses, failures and flow control. */
public class ExchangeTest {
  private static final int REPLAY_BYTES = 64 * 1024;

  /** Tests responses that arrive late, belong to another request, or are truncated or malformed. */
  public static final class Responses extends CallerTestBase {
    /** Guards against passing a late response to the next request on the connection. */
    @Test
    public void lateResponseIsDropped() throws Exception {
      caller.send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
      FakeLinkClient.Stream late = fixture.linkClient.nextStream();
      Response timeout = caller.readResponse();
      assertEquals(timeout.status(), 504);
      assertEquals(timeout.outcome(), "unknown");
      late.awaitCancelled();
      caller.send(CHECK_REQUEST);
      FakeLinkClient.Stream next = fixture.linkClient.nextStream();
      late.sendResponse("late");
      late.fail(ErrorKind.OVERLOADED, true);
      next.sendResponse("own");
      assertEquals(caller.readResponse().body(), "own");
      assertEquals(fixture.metrics.counts().lateResponseEvents(), 3);
    }

    /**
     * Guards against forwarding the response of another request that a faulty node sends on the
     * stream.
     */
    @Test
    public void responseToAnotherRequestIsRejected() throws Exception {
      caller.send(postRequestHead("/book", "foxtaildoor-request-id: mine\r\n", 0));
      fixture.linkClient.nextStream().sendHead(200, true, "foxtaildoor-request-id", "other");
      assertEquals(caller.readResponse().status(), 502);
      assertEquals(fixture.invariants.breaches(Invariant.ANSWER_MATCHES_REQUEST), 1);
    }

    /** Framings of responses that fail after their head. */
    @DataProvider
    public Object[][] cuts() {
      return new Object[][] {
        {"chunked", "HTTP/1.1", new String[0]},
        {"length", "HTTP/1.1", new String[] {"content-length", "9"}},
        {"until close", "HTTP/1.0", new String[0]},
      };
    }

    /**
     * Guards against a truncated response that looks complete to the caller, and against a retry
     * after a part of the response was forwarded.
     */
    @Test(dataProvider = "cuts")
    public void truncatedResponsesAreNeverCompleted(String name, String version, String[] headers)
        throws Exception {
      caller.send("GET /check " + version + "\r\nHost: h\r\n\r\n");
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      stream.sendHead(200, false, headers);
      stream.sendBody("part", false);
      stream.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertThrows(IOException.class, () -> caller.readResponse());
      assertEquals(fixture.linkClient.openedStreams.get(), 1, name);
    }

    /** Guards against forwarding a malformed response head of an upstream. */
    @Test
    public void malformedResponsesAreNotForwarded() throws Exception {
      String[][] answers = {
        {"content-length", "x"}, {"content-length", "5", "content-length", "6"}, {"a b", "c"},
      };
      for (String[] headers : answers) {
        caller.send(postRequestHead("/book", "", 0));
        fixture.linkClient.nextStream().sendHead(200, false, headers);
        assertEquals(caller.readResponse().error(), "bad-upstream-answer");
      }
      caller.send(postRequestHead("/book", "", 0));
      fixture.linkClient.nextStream().sendHead(101, true);
      assertEquals(caller.readResponse().error(), "bad-upstream-answer");
    }

    /**
     * Guards against streams that stay open after their caller disconnected, at each stage of a
     * request.
     */
    @Test
    public void callerDisconnectCancelsTheStreamAtEachStage() throws Exception {
      for (String stage : new String[] {"waiting", "sending", "answering"}) {
        try (RawCaller leaving = fixture.connectCaller()) {
          leaving.send(
              stage.equals("sending")
                  ? postRequestHead("/book", "", 10) + "abc"
                  : postRequestHead("/book", "", 0));
          FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
          if (stage.equals("answering")) {
            stream.sendHead(200, false);
            leaving.send(" ");
          }
          leaving.disconnect();
          stream.awaitCancelled();
        }
      }
    }
  }

  /** Tests failed attempts of idempotent and other requests, and their retries. */
  public static final class Failures extends CallerTestBase {
    /**
     * Columns: path, call depth, error kind, not run, expected attempts, expected status, expected
     * outcome.
     */
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

    /**
     * Guards against executing a request twice, and against a missing retry on another instance.
     */
    @Test(dataProvider = "failures")
    public void failureLeadsToExpectedAttemptsAndOutcome(
        String path,
        int depth,
        ErrorKind kind,
        boolean notRun,
        int attempts,
        int status,
        String outcome)
        throws Exception {
      caller.send(postRequestHead(path, "foxtaildoor-depth: " + depth + "\r\n", 3) + "abc");
      FakeLinkClient.Stream previous = null;
      for (int i = 1; i <= attempts; i++) {
        FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
        assertEquals(stream.head.getAttempt(), i);
        assertEquals(new String(stream.awaitWholeBody(), StandardCharsets.UTF_8), "abc");
        assertTrue(
            previous == null || !previous.target.equals(stream.target),
            "retried on the same instance");
        stream.fail(kind, notRun);
        previous = stream;
      }
      Response response = caller.readResponse();
      assertEquals(response.status(), status);
      assertEquals(response.outcome(), outcome);
      assertEquals(fixture.linkClient.openedStreams.get(), attempts);
    }

    /** Guards against reporting "not run" after an attempt with unknown outcome. */
    @Test
    public void refusalAfterUnknownOutcomeIsReportedAsUnknown() throws Exception {
      caller.send(CHECK_REQUEST);
      fixture.linkClient.nextStream().fail(ErrorKind.TIMEOUT, false);
      fixture.linkClient.nextStream().fail(ErrorKind.OVERLOADED, true);
      Response response = caller.readResponse();
      assertEquals(response.error(), "outcome-unknown");
      assertEquals(response.outcome(), "unknown");
    }

    /**
     * Guards against retries that the upstream's node takes for first arrivals, and the reverse.
     */
    @Test
    public void onlyAttemptsAfterAnArrivalAreMarkedAsRepeats() throws Exception {
      fixture.fleet.nodes.add(CallerFixture.node("c"));
      caller.send(CHECK_REQUEST);
      FakeLinkClient.Stream refused = fixture.linkClient.nextStream();
      refused.fail(ErrorKind.OVERLOADED, true);
      FakeLinkClient.Stream first = fixture.linkClient.nextStream();
      first.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      FakeLinkClient.Stream repeat = fixture.linkClient.nextStream();
      repeat.sendResponse("ok");
      assertEquals(caller.readResponse().status(), 200);
      assertEquals(refused.head.getRepeatPermille(), 0);
      assertEquals(first.head.getRepeatPermille(), 0);
      assertEquals(repeat.head.getRepeatPermille(), 1_000);
    }

    /**
     * Guards against charging the retry budget twice for a retry that had not arrived at an
     * upstream.
     */
    @Test
    public void retryThatDidNotArriveIsChargedOnce() throws Exception {
      fixture.fleet.nodes.add(CallerFixture.node("c"));
      caller.send(CHECK_REQUEST);
      fixture.linkClient.nextStream().fail(ErrorKind.OUTCOME_UNKNOWN, false);
      fixture.linkClient.nextStream().fail(ErrorKind.LEAVING, true);
      fixture.linkClient.nextStream().sendResponse("ok");
      assertEquals(caller.readResponse().status(), 200);
      assertEquals(fixture.retryBudgets.counts().get(CallerFixture.SERVICE).granted(), 1);
    }

    /** Guards against a retry that lacks the part of the body that is no longer buffered. */
    @Test
    public void requestIsNotRetriedWhenItsBodyExceedsTheReplayLimit() throws Exception {
      int length = REPLAY_BYTES + 1;
      caller.send(postRequestHead("/book", "", length + 1) + "a".repeat(length));
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      stream.awaitBodyBytes(length);
      stream.fail(ErrorKind.OVERLOADED, true);
      Response response = caller.readResponse();
      assertEquals(response.outcome(), "not-run");
      assertEquals(fixture.linkClient.openedStreams.get(), 1);
    }

    /**
     * Guards against buffered bodies that use too much memory, and against memory that is not
     * released.
     */
    @Test
    public void replayBuffersOfAllRequestsShareOneLimit() throws Exception {
      try (RawCaller other = fixture.connectCaller()) {
        String part = "a".repeat(REPLAY_BYTES - 1);
        caller.send(postRequestHead("/book", "", REPLAY_BYTES) + part);
        FakeLinkClient.Stream buffered = fixture.linkClient.nextStream();
        buffered.awaitBodyBytes(part.length());
        other.send(postRequestHead("/book", "", REPLAY_BYTES) + part);
        FakeLinkClient.Stream notBuffered = fixture.linkClient.nextStream();
        notBuffered.awaitBodyBytes(part.length());
        assertTrue(fixture.listener.bufferedReplayBytes() <= CallerFixture.MAX_TOTAL_REPLAY_BYTES);
        notBuffered.fail(ErrorKind.OVERLOADED, true);
        assertEquals(other.readResponse().outcome(), "not-run");
        buffered.fail(ErrorKind.OVERLOADED, true);
        fixture.linkClient.nextStream().fail(ErrorKind.OVERLOADED, true);
        assertEquals(caller.readResponse().outcome(), "not-run");
        assertEquals(fixture.linkClient.openedStreams.get(), 3);
        assertEquals(fixture.listener.bufferedReplayBytes(), 0);
      }
    }

    /** Guards against a replayed body that lacks its beginning or its end. */
    @Test
    public void smallBodyIsReplayedAndCompleted() throws Exception {
      String first = "a".repeat(REPLAY_BYTES - 3);
      caller.send(postRequestHead("/book", "", REPLAY_BYTES) + first);
      FakeLinkClient.Stream refused = fixture.linkClient.nextStream();
      refused.awaitBodyBytes(first.length());
      refused.fail(ErrorKind.OVERLOADED, true);
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      caller.send("bcd");
      assertEquals(new String(stream.awaitWholeBody(), StandardCharsets.UTF_8), first + "bcd");
      stream.sendResponse("ok");
      assertEquals(caller.readResponse().body(), "ok");
    }

    /**
     * Guards against a retry with an idempotency key that runs on another node than the first
     * request.
     */
    @Test
    public void requestsWithTheSameKeyGoToTheSameNode() throws Exception {
      String keyed = postRequestHead("/book", "Idempotency-Key: k1\r\n", 0);
      caller.send(keyed);
      FakeLinkClient.Stream first = fixture.linkClient.nextStream();
      first.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertEquals(caller.readResponse().outcome(), "unknown");
      fixture.fleet.nodes.addAll(0, List.of(CallerFixture.node("c")));
      caller.send(keyed);
      FakeLinkClient.Stream repeat = fixture.linkClient.nextStream();
      assertEquals(repeat.target, first.target);
      assertEquals(repeat.head.getIdempotencyKey(), "k1");
      repeat.fail(ErrorKind.OVERLOADED, true);
      assertEquals(caller.readResponse().outcome(), "not-run");
      fixture.fleet.nodes.remove(first.target);
      assertEquals(caller.send(keyed).readResponse().error(), "outcome-unknown");
      assertEquals(fixture.linkClient.openedStreams.get(), 2);
    }
  }

  /** Tests requests with an idempotency key whose instance is leaving. */
  public static final class KeyedRequestsOfLeavingInstances extends CallerTestBase {
    private static final String KEYED = postRequestHead("/book", "Idempotency-Key: k2\r\n", 0);

    /** Guards against a planned stop of an instance that fails requests with a key. */
    @Test
    public void refusedRequestMovesToAnotherInstance() throws Exception {
      caller.send(KEYED);
      FakeLinkClient.Stream leaving = fixture.linkClient.nextStream();
      leaving.fail(ErrorKind.LEAVING, true);
      FakeLinkClient.Stream next = fixture.linkClient.nextStream();
      assertNotEquals(next.target, leaving.target);
      assertEquals(next.head.getIdempotencyKey(), "k2");
      next.sendResponse("ok");
      assertEquals(caller.readResponse().body(), "ok");
    }

    /** Guards against a second execution of a request that may have run on a leaving instance. */
    @Test
    public void requestThatMayHaveRunStays() throws Exception {
      caller.send(KEYED);
      fixture.linkClient.nextStream().fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertEquals(caller.readResponse().outcome(), "unknown");
      caller.send(KEYED);
      fixture.linkClient.nextStream().fail(ErrorKind.LEAVING, true);
      assertEquals(caller.readResponse().outcome(), "not-run");
      assertEquals(fixture.linkClient.openedStreams.get(), 2);
    }
  }

  /** Tests flow control and the graceful shutdown. */
  public static final class FlowControl extends CallerTestBase {
    /** Guards against a node that reads more of a request body than the stream accepts. */
    @Test
    public void blockedStreamPausesReadingFromTheCaller() throws Exception {
      fixture.linkClient.writable = false;
      int length = CallerFixture.MAX_BODY_BYTES;
      CompletableFuture<Void> sending =
          CompletableFuture.runAsync(
              () -> {
                try {
                  caller.send(postRequestHead("/book", "", length)).send(new byte[length]);
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      // All connections share one event loop, so once a request on another connection is served,
      // reading from the first connection has paused.
      try (RawCaller other = fixture.connectCaller()) {
        other.send(CHECK_REQUEST);
        fixture.linkClient.nextStream().sendResponse("served");
        assertEquals(other.readResponse().body(), "served");
      }
      assertTrue(stream.receivedBody().length < length, "the whole body was read");
      fixture.linkClient.writable = true;
      stream.listener.onWritable();
      assertEquals(stream.awaitWholeBody().length, length);
      sending.get(FakeLinkClient.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      stream.sendResponse("ok");
      assertEquals(caller.readResponse().body(), "ok");
      stream.awaitConsumedBytes(2);
    }
  }
}
