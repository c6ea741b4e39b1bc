package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.StrayResponses.UNATTRIBUTED;
import static io.foxtaildoor.connection.upstream.StrayResponses.assertUnattributed;
import static io.foxtaildoor.connection.upstream.StrayResponses.failAll;
import static io.foxtaildoor.connection.upstream.StrayResponses.failure;
import static io.foxtaildoor.connection.upstream.StrayResponses.head;
import static io.foxtaildoor.connection.upstream.StrayResponses.outcome;
import static io.foxtaildoor.connection.upstream.StrayResponses.readId;
import static io.foxtaildoor.connection.upstream.StrayResponses.request;
import static io.foxtaildoor.connection.upstream.StrayResponses.success;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of response heads that are ambiguous, and of the length of a response. */
public class ResponseFramingTest {
  private static final String EMPTY = "Content-Length: 0\r\n\r\n";

  /** Tests of heads that name their request more than once or in a malformed way. */
  public static final class AmbiguousHeads extends SignedUpstreamTestBase {
    @DataProvider
    public Object[][] heads() {
      String line = "HTTP/1.1 200 OK\r\n";
      String signed = line + "X-Signature: s\r\n";
      return new Object[][] {
        {"own id, then another", signed + "X-Id: r\r\nX-Id: other\r\n" + EMPTY},
        {"another id, then own", signed + "X-Id: other\r\nX-Id: r\r\n" + EMPTY},
        {"own id, then another case", signed + "X-Id: r\r\nx-id: other\r\n" + EMPTY},
        {"own id twice", signed + "X-Id: r\r\nX-Id: r\r\n" + EMPTY},
        {"list of ids", signed + "X-Id: r, other\r\n" + EMPTY},
        {"empty id", signed + "X-Id: \r\n" + EMPTY},
        {"own id, then empty", signed + "X-Id: r\r\nX-Id:\r\n" + EMPTY},
        {"folded id", signed + "X-Id:\r\n r\r\n" + EMPTY},
        {"continued id", signed + "X-Id: r\r\n other\r\n" + EMPTY},
        {"id in a continuation", signed + "X-More: a\r\n X-Id: r\r\n" + EMPTY},
        {"bare CR before id", signed + "X-More: a\rX-Id: r\r\n" + EMPTY},
        {"bare CR after id", signed + "X-Id: r\rX-More: a\r\n" + EMPTY},
        {"bare CR in status line", "HTTP/1.1 200 O\rK\r\nX-Signature: s\r\nX-Id: r\r\n" + EMPTY},
        {"bare LF before another id", signed + "X-Id: r\nX-Id: other\r\n" + EMPTY},
        {"bare LF lines", "HTTP/1.1 200 OK\nX-Signature: s\nX-Id: r\nContent-Length: 0\n\n"},
        {"status line in reason", "HTTP/1.1 200 O" + failure("r")},
        {"status line in value", line + "X-Signature: s" + failure("r")},
        {"status line as header", signed + failure("r")},
        {"two lengths", signed + "X-Id: r\r\nContent-Length: 2\r\nContent-Length: 0\r\n\r\nok"},
        {
          "length and chunks",
          signed + "X-Id: r\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        },
        {"two signatures", signed + "X-Signature: t\r\nX-Id: r\r\n" + EMPTY},
      };
    }

    /** Guards against a success whose head is joined from the heads of two responses. */
    @Test(dataProvider = "heads")
    public void ambiguousHeadIsNotForwarded(String name, String head) throws IOException {
      Call call =
          call(
              connection -> {
                connection.readHead();
                connection.write(head);
                connection.pause();
              });
      assertUnattributed(call, name);
    }
  }

  /** Tests of heads that only look like two. */
  public static final class SoundHeads extends SignedUpstreamTestBase {
    @DataProvider
    public Object[][] headers() {
      return new Object[][] {
        {"Via: HTTP/1.1 192.168.0.1:8080"}, {"Via: 1.1 gateway"}, {"Upgrade: HTTP/2.0"},
      };
    }

    /** Guards against refusing a response because of a protocol version in a header. */
    @Test(dataProvider = "headers")
    public void headWithProtocolVersionIsForwarded(String header) throws IOException {
      String response = head("200 OK", "r") + header + "\r\nContent-Length: 2\r\n\r\nok";
      Call call =
          call(
              connection -> {
                connection.readHead();
                connection.write(response);
                connection.readHead();
              });
      assertEquals(outcome(call), "200 ok");
    }
  }

  /** Tests of heads in the dialect without signatures. */
  public static final class UnsignedHeads {
    @DataProvider
    public Object[][] ids() {
      return new Object[][] {{"other", "r"}, {"r", "other"}, {"r", "r"}};
    }

    /** Guards against a response that names its request and another one. */
    @Test(dataProvider = "ids")
    public void responseWithTwoIdsIsNotForwarded(String first, String second) throws IOException {
      String name = HeaderDialect.STANDARD.requestId();
      String ids = name + ": " + first + "\r\n" + name + ": " + second + "\r\n";
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\n" + ids + EMPTY);
            connection.readHead();
          };
      try (UpstreamFixture fixture =
              new UpstreamFixture(9, Duration.ofSeconds(20), 0, HeaderDialect.STANDARD);
          ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertUnattributed(fixture.call(request("GET", "r")), first + ", " + second);
      }
    }
  }

  /** Tests of responses to HEAD, which state the length of a body that does not follow. */
  public static final class HeadRequests extends SignedUpstreamTestBase {
    private static final String LENGTH = "Content-Length: 20\r\n\r\n";

    @DataProvider
    public Object[][] strays() {
      return new Object[][] {
        {"with a body", success("r1")},
        {"without a body", head("200 OK", "r1") + "Content-Length: 2\r\n\r\n"},
        {"empty", head("200 OK", "r1") + EMPTY},
        {"two", success("r1") + success("r1")},
        {"empty failure", failure("r1")},
        {"chunked", head("200 OK", "r1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"no content", head("204 No Content", "r1") + "\r\n"},
        {"interim", head("103 Early Hints", "r1") + "\r\n"},
      };
    }

    /** Guards against bytes after the response to HEAD that are forwarded as its body. */
    @Test(dataProvider = "strays")
    public void strayBeforeResponseToHeadDoesNotGiveItBody(String name, String stray)
        throws IOException {
      String outcome =
          outcomeOfHead(stray + head("200 OK", "r2") + LENGTH, success("r2") + success("r2"));
      assertTrue(outcome.equals("200") || UNATTRIBUTED.contains(outcome), name + ": " + outcome);
    }

    /** Guards against a success to HEAD in place of its failure. */
    @Test(dataProvider = "strays")
    public void strayBeforeFailureOfHeadIsNotForwarded(String name, String stray)
        throws IOException {
      String outcome = outcomeOfHead(stray + failure("r2"), "");
      assertTrue(outcome.equals("500") || UNATTRIBUTED.contains(outcome), name + ": " + outcome);
    }

    private String outcomeOfHead(String response, String later) throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            connection.write(success("r1"));
            connection.readHead();
            connection.write(response);
            connection.pause();
            connection.write(later);
            connection.pause();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), "200 ok");
        return outcome(fixture.call(request("HEAD", "r2")));
      }
    }

    /** Guards against a second response to HEAD, with a body, that reaches the next request. */
    @Test
    public void bodyAfterResponseToHeadEndsTheConnection() throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(head("200 OK", "r1") + "Content-Length: 2\r\n\r\nok");
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("HEAD", "r1"))), "200");
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }
  }

  /** Tests of responses that never have a body, and of interim responses. */
  public static final class EmptyResponses extends SignedUpstreamTestBase {
    @DataProvider
    public Object[][] statuses() {
      return new Object[][] {
        {"204 No Content", "204", ""},
        {"304 Not Modified", "304", "Content-Length: 20\r\n"},
      };
    }

    /** Guards against waiting for a body that does not follow, or taking other bytes for it. */
    @Test(dataProvider = "statuses")
    public void responseWithoutBodyEndsWithItsHead(String line, String status, String length)
        throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            String id = readId(connection);
            connection.write(head(line, id) + length + "\r\n");
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), status);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
      }
    }

    /** Guards against a body after such a response that is parsed as part of the next one. */
    @Test(dataProvider = "statuses")
    public void bodyAfterResponseWithoutBodyEndsTheConnection(
        String line, String status, String length) throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            if (connection.number == 1) {
              connection.readHead();
              connection.write(head(line, "r1") + length + "\r\nHTTP/1.1 200 O");
            }
            failAll(connection);
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), status);
        assertEquals(outcome(fixture.call(request("GET", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 2);
      }
    }

    /** Guards against interim responses that end the exchange or its connection. */
    @Test
    public void interimResponsesDoNotEndTheExchange() throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            while (true) {
              String id = readId(connection);
              connection.write("HTTP/1.1 100 Continue\r\n\r\n");
              connection.write(head("103 Early Hints", id) + "\r\n" + failure(id));
            }
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        assertEquals(outcome(fixture.call(request("GET", "r1"))), "500");
        assertEquals(outcome(fixture.call(request("HEAD", "r2"))), "500");
        assertEquals(upstream.connectionCount.get(), 1);
      }
    }

    /** Guards against waiting for the deadline when no HTTP/1.1 follows on the connection. */
    @Test
    public void switchOfProtocolsForAnotherRequestIsFailure() throws IOException {
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            connection.write(
                head("101 Switching Protocols", "other")
                    + "Connection: upgrade\r\nUpgrade: x\r\n\r\n"
                    + success("r"));
            connection.readHead();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
        fixture.attach(upstream.address());
        Call call = fixture.call(request("GET", "r"));
        assertUnattributed(call, "switch of protocols");
      }
    }
  }
}
