package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.caller.RawCaller.Reply;
import io.foxtaildoor.process.invariant.Invariant;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Exchange}: answers, failures and lifetime, over TCP. */
public class ExchangeTest {
  private static final int REPLAY_BYTES = 64 * 1024;

  /** Tests of answers that come late, for another request, or not whole. */
  public static final class Answers extends CallerTestBase {
    /** Guards against a late answer that is given to the next request on the connection. */
    @Test
    public void lateAnswerGoesToNobody() throws Exception {
      caller.send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
      FakeLinks.Stream late = fixture.links.next();
      Reply timeout = caller.read();
      assertEquals(timeout.status(), 504);
      assertEquals(timeout.outcome(), "unknown");
      late.awaitCancelled();
      caller.send(CHECK);
      FakeLinks.Stream next = fixture.links.next();
      late.answer("late");
      late.fail(ErrorKind.OVERLOADED, true);
      next.answer("own");
      assertEquals(caller.read().body(), "own");
      assertEquals(fixture.metrics.counts().lateAnswers(), 3);
    }

    /** Guards against an answer of another request that a faulty node sends on the stream. */
    @Test
    public void crossedAnswerIsRefused() throws Exception {
      caller.send(post("/book", "foxtaildoor-request-id: mine\r\n", 0));
      fixture.links.next().start(200, true, "foxtaildoor-request-id", "other");
      assertEquals(caller.read().status(), 502);
      assertEquals(fixture.invariants.breaches(Invariant.ANSWER_MATCHES_REQUEST), 1);
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
      caller.send("GET /check " + version + "\r\nHost: h\r\n\r\n");
      FakeLinks.Stream stream = fixture.links.next();
      stream.start(200, false, headers);
      stream.body("part", false);
      stream.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertThrows(IOException.class, () -> caller.read());
      assertEquals(fixture.links.opened.get(), 1, name);
    }

    /** Answers of an upstream that are malformed before a byte was passed on. */
    @Test
    public void malformedAnswersAreNotPassedOn() throws Exception {
      String[][] answers = {
        {"content-length", "x"}, {"content-length", "5", "content-length", "6"}, {"a b", "c"},
      };
      for (String[] headers : answers) {
        caller.send(post("/book", "", 0));
        fixture.links.next().start(200, false, headers);
        assertEquals(caller.read().error(), "bad-upstream-answer");
      }
      caller.send(post("/book", "", 0));
      fixture.links.next().start(101, true);
      assertEquals(caller.read().error(), "bad-upstream-answer");
    }

    /** Guards against streams that go on for a caller that is gone, at each stage. */
    @Test
    public void disconnectCancelsAtEachStage() throws Exception {
      for (String stage : new String[] {"waiting", "sending", "answering"}) {
        try (RawCaller leaving = fixture.caller()) {
          leaving.send(
              stage.equals("sending") ? post("/book", "", 10) + "abc" : post("/book", "", 0));
          FakeLinks.Stream stream = fixture.links.next();
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
  public static final class Failures extends CallerTestBase {
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
      caller.send(post(path, "foxtaildoor-depth: " + depth + "\r\n", 3) + "abc");
      FakeLinks.Stream former = null;
      for (int i = 1; i <= attempts; i++) {
        FakeLinks.Stream stream = fixture.links.next();
        assertEquals(stream.head.getAttempt(), i);
        assertEquals(new String(stream.wholeBody(), StandardCharsets.UTF_8), "abc");
        assertTrue(former == null || !former.target.equals(stream.target), "same instance");
        stream.fail(kind, notRun);
        former = stream;
      }
      Reply reply = caller.read();
      assertEquals(reply.status(), status);
      assertEquals(reply.outcome(), outcome);
      assertEquals(fixture.links.opened.get(), attempts);
    }

    /** Guards against "not run" after an attempt whose outcome is unknown. */
    @Test
    public void refusalAfterAnUnknownOutcomeIsUnknown() throws Exception {
      caller.send(CHECK);
      fixture.links.next().fail(ErrorKind.TIMEOUT, false);
      fixture.links.next().fail(ErrorKind.OVERLOADED, true);
      Reply reply = caller.read();
      assertEquals(reply.error(), "outcome-unknown");
      assertEquals(reply.outcome(), "unknown");
    }

    /** Guards against repeats that the other node takes for first arrivals, and the reverse. */
    @Test
    public void onlyAttemptsAfterAnArrivalAreRepeats() throws Exception {
      fixture.fleet.nodes.add(CallerFixture.node("c"));
      caller.send(CHECK);
      FakeLinks.Stream refused = fixture.links.next();
      refused.fail(ErrorKind.OVERLOADED, true);
      FakeLinks.Stream first = fixture.links.next();
      first.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      FakeLinks.Stream repeat = fixture.links.next();
      repeat.answer("ok");
      assertEquals(caller.read().status(), 200);
      assertEquals(refused.head.getRepeatPermille(), 0);
      assertEquals(first.head.getRepeatPermille(), 0);
      assertEquals(repeat.head.getRepeatPermille(), 1_000);
    }

    /** Guards against a budget that pays again for a retry that no upstream has received. */
    @Test
    public void retryThatDidNotArriveIsPaidOnce() throws Exception {
      fixture.fleet.nodes.add(CallerFixture.node("c"));
      caller.send(CHECK);
      fixture.links.next().fail(ErrorKind.OUTCOME_UNKNOWN, false);
      fixture.links.next().fail(ErrorKind.LEAVING, true);
      fixture.links.next().answer("ok");
      assertEquals(caller.read().status(), 200);
      assertEquals(fixture.budgets.counts().get(CallerFixture.SERVICE).granted(), 1);
    }

    /** Guards against a retry without the part of the body that was dropped. */
    @Test
    public void largeConsumedBodyIsNotReplayed() throws Exception {
      int length = REPLAY_BYTES + 1;
      caller.send(post("/book", "", length + 1) + "a".repeat(length));
      FakeLinks.Stream stream = fixture.links.next();
      stream.awaitBytes(length);
      stream.fail(ErrorKind.OVERLOADED, true);
      Reply reply = caller.read();
      assertEquals(reply.outcome(), "not-run");
      assertEquals(fixture.links.opened.get(), 1);
    }

    /** Guards against held bodies that fill the memory, and against memory that is not freed. */
    @Test
    public void heldBodiesAreBoundedTogether() throws Exception {
      try (RawCaller other = fixture.caller()) {
        String part = "a".repeat(REPLAY_BYTES - 1);
        caller.send(post("/book", "", REPLAY_BYTES) + part);
        FakeLinks.Stream held = fixture.links.next();
        held.awaitBytes(part.length());
        other.send(post("/book", "", REPLAY_BYTES) + part);
        FakeLinks.Stream dropped = fixture.links.next();
        dropped.awaitBytes(part.length());
        assertTrue(fixture.listener.heldBytes() <= CallerFixture.MAX_HELD_BYTES);
        dropped.fail(ErrorKind.OVERLOADED, true);
        assertEquals(other.read().outcome(), "not-run");
        held.fail(ErrorKind.OVERLOADED, true);
        fixture.links.next().fail(ErrorKind.OVERLOADED, true);
        assertEquals(caller.read().outcome(), "not-run");
        assertEquals(fixture.links.opened.get(), 3);
        assertEquals(fixture.listener.heldBytes(), 0);
      }
    }

    /** Guards against a replayed body that lacks its begin or its rest. */
    @Test
    public void smallBodyIsReplayedAndContinued() throws Exception {
      String first = "a".repeat(REPLAY_BYTES - 3);
      caller.send(post("/book", "", REPLAY_BYTES) + first);
      FakeLinks.Stream refused = fixture.links.next();
      refused.awaitBytes(first.length());
      refused.fail(ErrorKind.OVERLOADED, true);
      FakeLinks.Stream stream = fixture.links.next();
      caller.send("bcd");
      assertEquals(new String(stream.wholeBody(), StandardCharsets.UTF_8), first + "bcd");
      stream.answer("ok");
      assertEquals(caller.read().body(), "ok");
    }

    /** Guards against a keyed repeat that runs on another node than the first request. */
    @Test
    public void keyedRequestsStayOnTheirNode() throws Exception {
      String keyed = post("/book", "Idempotency-Key: k1\r\n", 0);
      caller.send(keyed);
      FakeLinks.Stream first = fixture.links.next();
      first.fail(ErrorKind.OUTCOME_UNKNOWN, false);
      assertEquals(caller.read().outcome(), "unknown");
      fixture.fleet.nodes.addAll(0, List.of(CallerFixture.node("c")));
      caller.send(keyed);
      FakeLinks.Stream repeat = fixture.links.next();
      assertEquals(repeat.target, first.target);
      assertEquals(repeat.head.getIdempotencyKey(), "k1");
      repeat.fail(ErrorKind.OVERLOADED, true);
      assertEquals(caller.read().outcome(), "not-run");
      fixture.fleet.nodes.remove(first.target);
      assertEquals(caller.send(keyed).read().error(), "outcome-unknown");
      assertEquals(fixture.links.opened.get(), 2);
    }
  }

  /** Tests of flow control and of the graceful stop. */
  public static final class Lifetime extends CallerTestBase {
    /** Guards against a node that reads more of a body than the stream takes. */
    @Test
    public void blockedStreamStopsReading() throws Exception {
      fixture.links.writable = false;
      int length = CallerFixture.MAX_BODY;
      CompletableFuture<Void> sending =
          CompletableFuture.runAsync(
              () -> {
                try {
                  caller.send(post("/book", "", length)).send(new byte[length]);
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
      FakeLinks.Stream stream = fixture.links.next();
      // A request on another connection of the one event loop shows that reading has paused.
      try (RawCaller other = fixture.caller()) {
        other.send(CHECK);
        fixture.links.next().answer("served");
        assertEquals(other.read().body(), "served");
      }
      assertTrue(stream.received().length < length, "the whole body was read");
      fixture.links.writable = true;
      stream.listener.onWritable();
      assertEquals(stream.wholeBody().length, length);
      sending.get(FakeLinks.GUARD_SECONDS, TimeUnit.SECONDS);
      stream.answer("ok");
      assertEquals(caller.read().body(), "ok");
      stream.awaitConsumed(2);
    }

    /** Guards against a planned stop that cuts requests or accepts new connections. */
    @Test
    public void drainAnswersWhatIsInFlight() throws Exception {
      try (RawCaller idle = fixture.caller()) {
        caller.send(CHECK);
        FakeLinks.Stream stream = fixture.links.next();
        CompletableFuture<Integer> drained = fixture.listener.beginDrain();
        assertTrue(idle.isClosedByPeer());
        stream.answer("last");
        Reply reply = caller.read();
        assertEquals(reply.body(), "last");
        assertEquals(reply.headers().get("connection"), "close");
        assertTrue(caller.isClosedByPeer());
        caller.disconnect();
        idle.disconnect();
        assertEquals(drained.get(FakeLinks.GUARD_SECONDS, TimeUnit.SECONDS), Integer.valueOf(0));
        assertThrows(IOException.class, () -> fixture.caller());
        assertEquals(fixture.invariants.breaches(Invariant.STOP_CUTS_NOTHING), 0);
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
}
