package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.head;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import io.foxtaildoor.protocol.StreamFailure;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Answers of upstreams that sign them and state what did not run. */
public class ManagedAnswerTest {
  private static final HeaderDialect DIALECT =
      new HeaderDialect(
          "X-Id", "X-Left", "X-Caller", "X-Target", "X-Not-Run", "X-Signature", false);
  private static final int HELD_BYTES = 1024;

  private UpstreamFixture fixture;

  @BeforeMethod
  public void start() {
    fixture = new UpstreamFixture(9, Duration.ofSeconds(20), HELD_BYTES, DIALECT);
  }

  @AfterMethod
  public void stop() {
    assertEquals(fixture.invariants.totalBreaches(), 0);
    fixture.close();
  }

  private static String answer(String id, String signature, String rest) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + signature + rest;
  }

  private Call call(ScriptedUpstream.Script script) throws IOException {
    ScriptedUpstream upstream = new ScriptedUpstream(script);
    fixture.attach(upstream.address());
    return fixture.call(head("GET", true));
  }

  /** Guards against an answer to an earlier request that is passed on as that to this one. */
  @Test
  public void answerOfAnotherRequestIsDropped() throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(
                  answer("other", "X-Signature: s\r\n", "Content-Length: 3\r\n\r\nbad"));
              connection.write(answer("r", "X-Signature: s\r\n", "Content-Length: 2\r\n\r\nok"));
              connection.head();
            });
    assertEquals(await(call.body), "ok");
  }

  @DataProvider
  public Object[][] spoiled() {
    return new Object[][] {
      {"without a signature", answer("r", "", "Content-Length: 2\r\n\r\nok")},
      {
        "encoded",
        answer("r", "X-Signature: s\r\nContent-Encoding: gzip\r\n", "Content-Length: 2\r\n\r\nok")
      },
      {"no HTTP", "what is this\r\n\r\n"},
      {"cut", answer("r", "X-Signature: s\r\n", "Content-Length: 20\r\n\r\nok")},
    };
  }

  /** Guards against a good answer whose bytes are not all the upstream's. */
  @Test(dataProvider = "spoiled")
  public void spoiledAnswerIsNotPassedOn(String fault, String answer) throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(answer);
            });
    ErrorKind kind = call.failedWith(false);
    assertTrue(
        kind == ErrorKind.BAD_UPSTREAM_ANSWER || kind == ErrorKind.OUTCOME_UNKNOWN, fault + kind);
    assertEquals(call.head.isDone(), false);
  }

  /** Guards against a reset that ends an answer without a length as if it were whole. */
  @Test
  public void resetAnswerWithoutALengthIsNotWhole() throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(answer("r", "X-Signature: s\r\n", "\r\npart"));
              connection.pause();
              connection.reset();
            });
    assertEquals(call.failedWith(false), ErrorKind.OUTCOME_UNKNOWN);
  }

  /** Guards against an answer without a length that is never passed on. */
  @Test
  public void answerWithoutALengthEndsWithItsConnection() throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(answer("r", "X-Signature: s\r\n", "\r\nwhole"));
            });
    assertEquals(await(call.body), "whole");
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {"503 Service Unavailable\r\nX-Not-Run: 1", ErrorKind.OVERLOADED},
      {"429 Too Many Requests\r\nX-Not-Run: 1", ErrorKind.OVERLOADED},
      {"421 Misdirected Request", ErrorKind.NO_UPSTREAM},
    };
  }

  /** Guards against a stated refusal that is taken for a run, and for one that never arrived. */
  @Test(dataProvider = "refusals")
  public void statedRefusalHasNotRunButArrived(String status, ErrorKind kind) throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write("HTTP/1.1 " + status + "\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n");
              connection.head();
            });
    assertEquals(call.failedWith(true), kind);
    StreamFailure failure = await(call.failure);
    assertTrue(failure.getArrived());
    assertEquals(fixture.runs, List.of(), "a refused request counts as a run");
  }

  /** Guards against a refusal without the statement that is taken for "not run". */
  @Test
  public void plainFailureMayHaveRun() throws IOException {
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(
                  "HTTP/1.1 503 Service Unavailable\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n");
              connection.head();
            });
    assertEquals(await(call.head).getStatus(), 503);
    assertEquals(fixture.runs, List.of(0.0));
  }

  /** Guards against a large answer that is held in memory. */
  @Test
  public void largeAnswerIsPassedOnInParts() throws IOException {
    String body = "x".repeat(8 * HELD_BYTES);
    Call call =
        call(
            connection -> {
              connection.head();
              connection.write(
                  answer(
                      "r", "X-Signature: s\r\n", "Content-Length: " + body.length() + "\r\n\r\n"));
              connection.write(body);
              connection.head();
            });
    assertEquals(await(call.body), body);
  }

  /** Guards against a request that is lost on a connection which the upstream is about to close. */
  @Test
  public void statedKeepAliveTimeIsKept() throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(ManagedAnswerTest::answerAll);
    fixture.attach(upstream.address());
    assertEquals(await(fixture.call(head("GET", true)).body), "ok");
    assertEquals(await(fixture.call(head("GET", true)).body), "ok");
    assertEquals(upstream.connections.get(), 1);
    Thread.sleep(700);
    assertEquals(await(fixture.call(head("GET", true)).body), "ok");
    assertEquals(upstream.connections.get(), 2);
  }

  /** Guards against a run of a request whose cancel came with it, as after a stall of the link. */
  @Test
  public void requestThatIsCancelledBeforeItsAdmissionIsNotHandedOver() throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(ManagedAnswerTest::answerAll);
    fixture.attach(upstream.address());
    assertEquals(await(fixture.call(head("GET", true)).body), "ok");
    CountDownLatch read = new CountDownLatch(1);
    fixture.blockLoops(read);
    Call cancelled = fixture.call(head("GET", true));
    cancelled.request.onCancelled("the caller left");
    read.countDown();
    assertEquals(await(fixture.call(head("GET", true)).body), "ok");
    assertEquals(upstream.heads.size(), 2);
  }

  /** Answers on a connection that stays open for a second. */
  private static void answerAll(ScriptedUpstream.Connection connection) throws IOException {
    while (true) {
      connection.head();
      connection.write(
          answer(
              "r",
              "X-Signature: s\r\nKeep-Alive: max=9, timeout=1\r\n",
              "Content-Length: 2\r\n\r\nok"));
    }
  }
}
