package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.requestHead;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.StreamFailure;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Responses of upstreams that write more than one response for a request. */
final class StrayResponses {
  /** Outcomes of a request whose response cannot be attributed. */
  static final Set<String> UNATTRIBUTED =
      Set.of(ErrorKind.BAD_UPSTREAM_ANSWER.name(), ErrorKind.OUTCOME_UNKNOWN.name());

  private static final int CLOSE_WAIT_MILLIS = 100;

  private StrayResponses() {}

  static String success(String id) {
    return head("200 OK", id) + "Content-Length: 2\r\n\r\nok";
  }

  /** A failure of the upstream itself, signed and without a body. */
  static String failure(String id) {
    return head("500 Internal Server Error", id) + "Content-Length: 0\r\n\r\n";
  }

  static String refusal(String id) {
    return head("503 Service Unavailable", id) + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /** A response head without its last lines. */
  static String head(String status, String id) {
    return "HTTP/1.1 " + status + "\r\nX-Signature: s-" + id + "\r\nX-Id: " + id + "\r\n";
  }

  static RequestStart.Builder request(String method, String id) {
    return requestHead(method, true).setRequestId(id).setRemainingMicros(4_000_000);
  }

  /** Waits for the end of a call; its status and body, or the kind of its failure. */
  static String outcome(Call call) {
    await(CompletableFuture.anyOf(call.body, call.failure));
    if (call.body.isDone()) {
      return (await(call.head).getStatus() + " " + await(call.body)).strip();
    }
    StreamFailure failure = await(call.failure);
    return failure.getKind() + (failure.getNotRun() ? ", not run" : "");
  }

  /** Reads a request head and returns the id of the request. */
  static String readId(ScriptedUpstream.Connection connection) throws IOException {
    String head = connection.readHead();
    int start = head.indexOf("X-Id: ") + "X-Id: ".length();
    return head.substring(start, head.indexOf("\r\n", start));
  }

  /** Answers each request of a connection with the failure that names it. */
  static void failAll(ScriptedUpstream.Connection connection) throws IOException {
    while (true) {
      connection.write(failure(readId(connection)));
    }
  }

  /** Waits until the peer closes the connection, or for a while if it does not. */
  static void awaitClose(ScriptedUpstream.Connection connection) throws IOException {
    connection.socket.setSoTimeout(CLOSE_WAIT_MILLIS);
    try {
      var unused = connection.closedByPeer();
    } catch (SocketTimeoutException e) {
      // The peer keeps the connection; the test finds out whether it uses it again.
      connection.socket.setSoTimeout(0);
    }
  }

  /** Checks that a request failed with an unknown outcome and nothing of a response was sent. */
  static void assertUnattributed(Call call, String name) {
    String outcome = outcome(call);
    assertEquals(UNATTRIBUTED.contains(outcome), true, name + ": " + outcome);
    assertFalse(call.head.isDone(), name);
  }
}
