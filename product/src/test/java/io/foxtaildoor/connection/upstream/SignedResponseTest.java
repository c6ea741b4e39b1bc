package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.requestHead;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import io.foxtaildoor.protocol.StreamFailure;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of upstreams that sign their responses and state which requests they did not run. */
public class SignedResponseTest extends SignedUpstreamTestBase {
  /** Guards against forwarding the response to another request as the response to this one. */
  @Test
  public void dropsResponseToAnotherRequest() throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write(
                  response("other", "X-Signature: s\r\n", "Content-Length: 3\r\n\r\nbad"));
              connection.write(response("r", "X-Signature: s\r\n", "Content-Length: 2\r\n\r\nok"));
              connection.readHead();
            });
    assertEquals(await(call.body), "ok");
  }

  @DataProvider
  public Object[][] invalidResponses() {
    return new Object[][] {
      {"without a signature", response("r", "", "Content-Length: 2\r\n\r\nok")},
      {
        "encoded",
        response("r", "X-Signature: s\r\nContent-Encoding: gzip\r\n", "Content-Length: 2\r\n\r\nok")
      },
      {"not HTTP", "what is this\r\n\r\n"},
      {"cut off", response("r", "X-Signature: s\r\n", "Content-Length: 20\r\n\r\nok")},
    };
  }

  /**
   * Guards against forwarding a response that is not entirely the upstream's own or not complete.
   */
  @Test(dataProvider = "invalidResponses")
  public void invalidResponseIsNotForwarded(String fault, String response) throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write(response);
            });
    ErrorKind kind = call.failedWith(false);
    assertTrue(
        kind == ErrorKind.BAD_UPSTREAM_ANSWER || kind == ErrorKind.OUTCOME_UNKNOWN, fault + kind);
    assertEquals(call.head.isDone(), false);
  }

  /** Guards against a response without a length that is buffered and never forwarded. */
  @Test
  public void responseWithoutLengthEndsWhenConnectionCloses() throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write(response("r", "X-Signature: s\r\n", "\r\nwhole"));
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

  /** Guards against counting a request that the upstream refused as run, or as never received. */
  @Test(dataProvider = "refusals")
  public void refusalByUpstreamIsReportedAsNotRunButReceived(String status, ErrorKind kind)
      throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write("HTTP/1.1 " + status + "\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n");
              connection.readHead();
            });
    assertEquals(call.failedWith(true), kind);
    StreamFailure failure = await(call.failure);
    assertTrue(failure.getArrived());
    assertEquals(fixture.repeatProbabilities, List.of(), "a refused request was counted as run");
  }

  /**
   * Guards against a faulty upstream that writes an earlier refusal once more, without an id, while
   * it runs the next request on the connection: the caller would be told that the request did not
   * run.
   */
  @Test(dataProvider = "refusals")
  public void copyOfEarlierRefusalDoesNotRefuseTheNextRequest(String status, ErrorKind kind)
      throws IOException {
    String refusal = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n";
    Call first =
        call(
            connection -> {
              connection.readHead();
              connection.write(refusal + "X-Id: r\r\n\r\n");
              connection.readHead();
              connection.write(refusal + "\r\n");
              connection.write(response("r", "X-Signature: s\r\n", "Content-Length: 0\r\n\r\n"));
              connection.readHead();
            });
    assertEquals(first.failedWith(true), kind);
    Call second = fixture.call(requestHead("GET", true).setRequestId("r2"));
    assertEquals(second.failedWith(false), ErrorKind.BAD_UPSTREAM_ANSWER);
  }

  /**
   * Guards against a late second copy of a response that is taken for the response to the next
   * request on the connection. Both requests of the test have the same id.
   */
  @Test
  public void copyBetweenTwoRequestsClosesTheConnection() throws Exception {
    CountDownLatch copied = new CountDownLatch(1);
    ScriptedUpstream upstream =
        new ScriptedUpstream(
            connection -> {
              connection.readHead();
              connection.write(response("r", "X-Signature: s\r\n", "Content-Length: 2\r\n\r\nok"));
              connection.pause();
              connection.write(response("r", "X-Signature: s\r\n", "Content-Length: 3\r\n\r\nbad"));
              connection.pause();
              copied.countDown();
              connection.readHead();
            });
    fixture.attach(upstream.address());
    assertEquals(await(fixture.call(requestHead("GET", true)).body), "ok");
    assertTrue(copied.await(20, TimeUnit.SECONDS));
    assertEquals(await(fixture.call(requestHead("GET", true)).body), "ok");
    assertEquals(upstream.connectionCount.get(), 2);
  }

  /** Guards against passing on a failure of another request as that of this one. */
  @Test
  public void failureWithoutIdIsNotForwarded() throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
              connection.readHead();
            });
    assertEquals(call.failedWith(false), ErrorKind.BAD_UPSTREAM_ANSWER);
    assertEquals(call.head.isDone(), false);
  }

  /** Guards against taking a 503 without the not-run header for a request that was not run. */
  @Test
  public void failureWithoutNotRunHeaderCountsAsRun() throws IOException {
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write(
                  "HTTP/1.1 503 Service Unavailable\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n");
              connection.readHead();
            });
    assertEquals(await(call.head).getStatus(), 503);
    assertEquals(fixture.repeatProbabilities, List.of(0.0));
  }

  /** Guards against buffering a response without a bound. */
  @Test
  public void largeResponseIsForwardedInParts() throws IOException {
    String body = "x".repeat(8 * BUFFERED_BYTES);
    Call call =
        call(
            connection -> {
              connection.readHead();
              connection.write(
                  response(
                      "r", "X-Signature: s\r\n", "Content-Length: " + body.length() + "\r\n\r\n"));
              connection.write(body);
              connection.readHead();
            });
    assertEquals(await(call.body), body);
  }

  /** Guards against losing a request on a connection that the upstream is about to close. */
  @Test
  public void connectionIsNotReusedAfterStatedKeepAliveTimeout() throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(SignedResponseTest::respondToAll);
    fixture.attach(upstream.address());
    assertEquals(await(fixture.call(requestHead("GET", true).setRequestId("r1")).body), "ok");
    assertEquals(await(fixture.call(requestHead("GET", true).setRequestId("r2")).body), "ok");
    assertEquals(upstream.connectionCount.get(), 1);
    Thread.sleep(700);
    assertEquals(await(fixture.call(requestHead("GET", true).setRequestId("r3")).body), "ok");
    assertEquals(upstream.connectionCount.get(), 2);
  }

  /**
   * Guards against running a request that is cancelled before the event loop admits it, as happens
   * when request and cancel arrive together after a stall of the link.
   */
  @Test
  public void requestCancelledBeforeAdmissionIsNotSent() throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(SignedResponseTest::respondToAll);
    fixture.attach(upstream.address());
    assertEquals(await(fixture.call(requestHead("GET", true)).body), "ok");
    CountDownLatch unblocked = new CountDownLatch(1);
    fixture.blockLoops(unblocked);
    Call cancelled = fixture.call(requestHead("GET", true));
    cancelled.request.onCancelled("the caller left");
    unblocked.countDown();
    assertEquals(await(fixture.call(requestHead("GET", true)).body), "ok");
    assertEquals(upstream.requestHeads.size(), 2);
  }

  /** Guards against a remembered response that is rejected as that of another request. */
  @Test
  public void rememberedResponseNamesNoRequest() throws Exception {
    ScriptedUpstream upstream = new ScriptedUpstream(SignedResponseTest::respondToAll);
    fixture.attach(upstream.address());
    for (String id : List.of("r1", "r2")) {
      Call call = fixture.call(requestHead("POST", true).setRequestId(id).setIdempotencyKey("key"));
      assertEquals(await(call.body), "ok");
      boolean named =
          await(call.head).getHeadersList().stream().anyMatch(h -> h.getName().equals("X-Id"));
      assertEquals(named, id.equals("r1"), id);
    }
    assertEquals(upstream.requestHeads.size(), 1);
  }

  /** Responds to all requests of a connection, with a stated keep-alive timeout of one second. */
  private static void respondToAll(ScriptedUpstream.Connection connection) throws IOException {
    while (true) {
      String id = ScriptedUpstream.header(connection.readHead(), "X-Id");
      connection.write(
          response(
              id,
              "X-Signature: s\r\nKeep-Alive: max=9, timeout=1\r\n",
              "Content-Length: 2\r\n\r\nok"));
    }
  }
}
