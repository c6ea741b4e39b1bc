package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.StrayResponses.UNATTRIBUTED;
import static io.foxtaildoor.connection.upstream.StrayResponses.assertUnattributed;
import static io.foxtaildoor.connection.upstream.StrayResponses.failAll;
import static io.foxtaildoor.connection.upstream.StrayResponses.failure;
import static io.foxtaildoor.connection.upstream.StrayResponses.head;
import static io.foxtaildoor.connection.upstream.StrayResponses.outcome;
import static io.foxtaildoor.connection.upstream.StrayResponses.readId;
import static io.foxtaildoor.connection.upstream.StrayResponses.refusal;
import static io.foxtaildoor.connection.upstream.StrayResponses.request;
import static io.foxtaildoor.connection.upstream.StrayResponses.success;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.withHeader;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of whole responses that belong to no request in progress. */
public class StrayResponseTest {
  /** Tests of two runs of a request with the same id on one connection. */
  public static final class SameIdTwice extends SignedUpstreamTestBase {
    @DataProvider
    public Object[][] copies() {
      return new Object[][] {
        {"GET", success("r1"), failure("r1"), "500", false},
        {"GET", success("r1"), failure("r1"), "500", true},
        {"GET", failure("r1"), success("r1"), "200 ok", false},
        {"GET", failure("r1"), success("r1"), "200 ok", true},
        {"POST", success("r1"), failure("r1"), "500", false},
        {"POST", success("r1"), failure("r1"), "500", true},
        {"POST", failure("r1"), success("r1"), "200 ok", false},
        {"POST", failure("r1"), success("r1"), "200 ok", true},
      };
    }

    /** Guards against the late copy of an earlier run's response as that of the second run. */
    @Test(dataProvider = "copies")
    public void copyOfFirstRunIsNotTheResponseOfTheSecond(
        String method, String first, String second, String expected, boolean split)
        throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              readRequest(connection, method);
              connection.write(first);
              readRequest(connection, method);
              if (split) {
                connection.write(first);
                connection.pause();
                connection.write(second);
              } else {
                connection.write(first + second);
              }
            } else {
              readRequest(connection, method);
              connection.write(second);
            }
            connection.readHead();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertNotEquals(outcome(send(method)), expected);
        String outcome = outcome(send(method));
        assertTrue(outcome.equals(expected) || UNATTRIBUTED.contains(outcome), outcome);
      }
    }

    /**
     * Guards against a caller that repeats an id and fills the connection limit of the upstream.
     */
    @Test
    public void repeatedIdDoesNotAccumulateConnections() throws IOException {
      AtomicInteger open = new AtomicInteger();
      AtomicInteger mostOpen = new AtomicInteger();
      ScriptedUpstream.Script script =
          connection -> {
            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
            try {
              while (true) {
                connection.write(success(readId(connection)));
              }
            } finally {
              open.decrementAndGet();
            }
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        for (int i = 0; i < 40; i++) {
          assertEquals(outcome(fixture.call(request("POST", "r1"))), "200 ok");
        }
      }
      assertTrue(mostOpen.get() <= 4, "connections: " + mostOpen);
    }

    private Call send(String method) {
      if (method.equals("GET")) {
        return fixture.call(request(method, "r1"));
      }
      Call call =
          fixture.call(withHeader(request(method, "r1").setEnd(false), "Content-Length", "3"));
      call.send("abc", true);
      return call;
    }

    private static void readRequest(ScriptedUpstream.Connection connection, String method)
        throws IOException {
      connection.readHead();
      if (method.equals("POST")) {
        var unused = connection.readBody(3);
      }
    }
  }

  /** Tests of responses to other requests during an exchange. */
  public static final class OtherRequests extends SignedUpstreamTestBase {
    private static final String CLOSING =
        head("200 OK", "other") + "Connection: close\r\nContent-Length: 2\r\n\r\nok";

    @DataProvider
    public Object[][] complete() {
      String other = success("other");
      return new Object[][] {
        {"one", other},
        {"two", other + other},
        {"three", other + failure("other") + other},
        {"failure", failure("other")},
        {"refusal", refusal("other")},
        {"closing", CLOSING},
        {"interim", head("103 Early Hints", "other") + "\r\n"},
        {"chunked", head("200 OK", "other") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      };
    }

    /** Guards against a connection that is reused although further strays may follow on it. */
    @Test(dataProvider = "complete")
    public void connectionWithStrayIsNotReused(String name, String stray) throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            String id = readId(connection);
            connection.write(connection.number == 1 ? stray + failure(id) : failure(id));
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        String first = outcome(fixture.call(request("GET", "r1")));
        assertTrue(first.equals("500") || UNATTRIBUTED.contains(first), name + ": " + first);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500", name);
        assertEquals(upstream.connectionCount.get(), 2, name);
      }
    }

    @DataProvider
    public Object[][] swallowing() {
      String start = head("200 OK", "other");
      return new Object[][] {
        {"no length", start + "\r\n"},
        {"endless chunks", start + "Transfer-Encoding: chunked\r\n\r\n400\r\n"},
        {"long", start + "Content-Length: 1000\r\n\r\nok"},
      };
    }

    /** Guards against a request that waits for its deadline behind a stray without an end. */
    @Test(dataProvider = "swallowing")
    public void strayThatSwallowsTheResponseFailsTheRequest(String name, String stray)
        throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            String id = readId(connection);
            connection.write(connection.number == 1 ? stray + failure(id) : failure(id));
            connection.readHead();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertUnattributed(fixture.call(request("GET", "r1")), name);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500", name);
      }
    }

    @DataProvider
    public Object[][] missingBytes() {
      int length = failure("r1").length();
      return new Object[][] {{length - 4}, {length - 2}, {length}, {length + 1}, {length + 5}};
    }

    /** Guards against a stray that hides a failure, so that a success after it is taken. */
    @Test(dataProvider = "missingBytes")
    public void successAfterHiddenFailureIsNotForwarded(int missing) throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            connection.write(
                head("200 OK", "other") + "Content-Length: " + (2 + missing) + "\r\n\r\nok");
            connection.write(failure("r1"));
            connection.pause();
            connection.write(success("r1"));
            connection.readHead();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertUnattributed(fixture.call(request("GET", "r1")), missing + " bytes missing");
      }
    }

    /** Guards against forwarding a part of a response that a stray hides within its length. */
    @Test
    public void responseHiddenInStrayIsNotForwarded() throws IOException {
      String response = failure("r1");
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            connection.write(
                head("200 OK", "other") + "Content-Length: " + response.length() + "\r\n\r\n");
            connection.write(response);
            connection.readHead();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertUnattributed(fixture.call(request("GET", "r1")), "hidden response");
      }
    }
  }

  /** Tests of a second response for the current request directly after its first. */
  public static final class SecondResponse extends SignedUpstreamTestBase {
    @DataProvider
    public Object[][] pairs() {
      return new Object[][] {
        {success("r1"), success("r1"), "200 ok"},
        {success("r1"), failure("r1"), "200 ok"},
        {failure("r1"), success("r1"), "500"},
        {success("r1"), refusal("r1"), "200 ok"},
        {refusal("r1"), success("r1"), "OVERLOADED, not run"},
        {success("r1"), success("r2"), "200 ok"},
        {failure("r1"), success("r2"), "500"},
      };
    }

    /** Guards against a second response in place of the first, or of the next request's. */
    @Test(dataProvider = "pairs")
    public void secondResponseEndsTheConnection(String first, String second, String expected)
        throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(first + second);
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), expected);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }
  }

  /** Tests of the moments of an exchange at which further bytes may arrive. */
  public static final class Moments extends SignedUpstreamTestBase {
    /** Guards against a second response after a body that was forwarded in parts. */
    @Test
    public void secondResponseAfterLargeBodyEndsTheConnection() throws IOException {
      String body = "x".repeat(8 * BUFFERED_BYTES);
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(
                  head("200 OK", "r1") + "Content-Length: " + body.length() + "\r\n\r\n");
              connection.write(body.substring(1));
              connection.pause();
              connection.write("x" + success("r1"));
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), "200 " + body);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }

    /** Guards against the response of a cancelled request on a connection that is reused. */
    @Test
    public void responseOfCancelledRequestReachesNoOther() throws Exception {
      CountDownLatch received = new CountDownLatch(1);
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(head("200 OK", "r1") + "Content-Length: 2\r\n\r\no");
              received.countDown();
              connection.pause();
              connection.write("k" + success("r1"));
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        Call cancelled = fixture.call(request("GET", "r1"));
        assertTrue(received.await(20, TimeUnit.SECONDS));
        cancelled.request.onCancelled("the caller left");
        assertEquals(outcome(fixture.call(request("GET", "r1"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }

    /** Guards against the reuse of a connection on which a request body is still being written. */
    @Test
    public void responseBeforeTheEndOfTheRequestEndsTheConnection() throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(success("r1") + success("r1"));
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        Call early = fixture.call(request("POST", "r1").setEnd(false));
        assertEquals(await(early.body), "ok");
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }
  }
}
