package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static io.foxtaildoor.connection.upstream.UpstreamFixture.requestHead;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of upstreams whose responses break off or never end. */
public class BrokenResponseTest {
  private static final String SIGNATURE = "X-Signature: s\r\n";

  /** Tests of responses that break off. */
  public static final class CutResponses extends SignedUpstreamTestBase {
    private static final Set<ErrorKind> FAILURES =
        Set.of(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.BAD_UPSTREAM_ANSWER);

    @DataProvider
    public Object[][] responses() {
      String length = response("r", SIGNATURE, "Content-Length: 10\r\n\r\n0123456789");
      String chunked =
          response("r", SIGNATURE, "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n");
      String noLength = response("r", SIGNATURE, "\r\n");
      String empty = response("r", SIGNATURE, "Content-Length: 0\r\n\r\n");
      return new Object[][] {
        {"length, closed", length, false},
        {"length, reset", length, true},
        {"chunked, closed", chunked, false},
        {"chunked, reset", chunked, true},
        {"no length, closed", noLength, false},
        {"no length, reset", noLength, true},
        {"empty, closed", empty, false},
        {"empty, reset", empty, true},
      };
    }

    /**
     * Guards against a response that breaks off, in its head or its body, and is passed on as a
     * complete one. Every place at which a response can break off is tried.
     */
    @Test(dataProvider = "responses")
    public void responseCutAnywhereIsFailure(String name, String response, boolean reset)
        throws IOException {
      ScriptedUpstream.Script cutLater =
          connection -> {
            connection.readHead();
            connection.write(response.substring(0, connection.number - 1));
            if (reset) {
              connection.reset();
            }
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(cutLater)) {
        fixture.attach(upstream.address());
        for (int sent = 0; sent < response.length(); sent++) {
          Call call = fixture.call(requestHead("GET", true));
          ErrorKind kind = call.failedWith(false);
          assertTrue(FAILURES.contains(kind), kind + " after " + sent + " bytes");
          assertFalse(call.head.isDone(), "head forwarded after " + sent + " bytes");
          assertEquals(upstream.connectionCount.get(), sent + 1);
        }
      }
    }

    /** Guards against taking a reset for the regular end of a response without a length. */
    @Test
    public void resetDuringResponseWithoutLengthIsFailure() throws IOException {
      Call call =
          call(
              connection -> {
                connection.readHead();
                connection.write(response("r", "X-Signature: s\r\n", "\r\npart"));
                connection.pause();
                connection.reset();
              });
      assertEquals(call.failedWith(false), ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * Guards against the same when the reset is noticed by writing the request body: the failed
     * write closes the connection before anything is read from it.
     */
    @Test
    public void resetDuringUploadIsFailure() throws Exception {
      CountDownLatch uploading = new CountDownLatch(1);
      ScriptedUpstream.Script script =
          connection -> {
            connection.readHead();
            awaitQuietly(uploading);
            connection.write(response("r", SIGNATURE, "\r\npart"));
            connection.pause();
            connection.reset();
          };
      try (ScriptedUpstream upstream = new ScriptedUpstream(script, 4096)) {
        fixture.attach(upstream.address());
        Call call = fixture.call(requestHead("POST", false));
        // More than the socket buffers hold, so that a write is pending when the reset arrives.
        for (int i = 0; i < 15; i++) {
          call.send("x".repeat(1 << 20), false);
        }
        uploading.countDown();
        await(CompletableFuture.anyOf(call.failure, call.body));
        assertFalse(call.body.isDone(), "forwarded as a complete response");
        assertEquals(call.failedWith(false), ErrorKind.OUTCOME_UNKNOWN);
      }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
      try {
        latch.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  /** Tests of responses without end. */
  public static final class EndlessResponses extends SignedUpstreamTestBase {
    /** Writes a text without end, and opens the latch when the connection is closed. */
    private static ScriptedUpstream.Script endless(
        String start, String repeated, CountDownLatch closed) {
      return connection -> {
        connection.readHead();
        try {
          connection.write(start);
          while (true) {
            connection.write(repeated);
          }
        } finally {
          closed.countDown();
        }
      };
    }

    @DataProvider
    public Object[][] endlessHeads() {
      return new Object[][] {
        {"no HTTP", "", "x".repeat(1024)},
        {"status line", "HTTP/1.1 200 ", "x".repeat(1024)},
        {"header", "HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(1024)},
        {"headers", "HTTP/1.1 200 OK\r\n", "X-More: " + "x".repeat(1016) + "\r\n"},
        {"interim responses", "", "HTTP/1.1 102 Processing\r\nX-Id: r\r\n\r\n"},
        {"other responses", "", "HTTP/1.1 200 OK\r\nX-Id: o\r\nContent-Length: 0\r\n\r\n"},
      };
    }

    /**
     * Guards against an upstream that writes a head without end until the connection closes: the
     * node would use ever more memory, or the request would never end.
     */
    @Test(dataProvider = "endlessHeads")
    public void endlessHeadIsCutOff(String fault, String start, String repeated) throws Exception {
      CountDownLatch closed = new CountDownLatch(1);
      Call call = call(endless(start, repeated, closed));
      ErrorKind kind = call.failedWith(false);
      assertTrue(
          kind == ErrorKind.BAD_UPSTREAM_ANSWER || kind == ErrorKind.TIMEOUT, fault + " " + kind);
      assertTrue(closed.await(20, TimeUnit.SECONDS), fault);
      assertEquals(call.head.isDone(), false);
    }

    @DataProvider
    public Object[][] endlessBodies() {
      String chunked = response("r", SIGNATURE, "Transfer-Encoding: chunked\r\n\r\n");
      String block = "x".repeat(1024);
      String refusal = "HTTP/1.1 503 Busy\r\nX-Id: r\r\nX-Not-Run: 1\r\n";
      String length = "Content-Length: 99999999999\r\n\r\n";
      return new Object[][] {
        {"chunks", chunked, "400\r\n" + block + "\r\n"},
        {"chunk size", chunked, "0".repeat(1024)},
        {"chunk extension", chunked + "1;", block},
        {"trailers", chunked + "0\r\n", "X-More: " + block + "\r\n"},
        {"length", response("r", SIGNATURE, length), block},
        {"until close", response("r", SIGNATURE, "\r\n"), block},
        {"refusal", refusal + length, block},
        {"other response", response("o", SIGNATURE, length), block},
        {"unsigned", response("r", "", length), block},
      };
    }

    /**
     * Guards against an upstream that writes a body without end until the connection closes: the
     * node would use ever more memory, or the request would never end.
     */
    @Test(dataProvider = "endlessBodies")
    public void endlessBodyIsCutOff(String fault, String start, String repeated) throws Exception {
      CountDownLatch closed = new CountDownLatch(1);
      try (ScriptedUpstream upstream = new ScriptedUpstream(endless(start, repeated, closed))) {
        fixture.attach(upstream.address());
        Call call = fixture.call(requestHead("GET", true).setRemainingMicros(2_000_000));
        ErrorKind kind = call.failedWith(false);
        assertTrue(
            kind == ErrorKind.BAD_UPSTREAM_ANSWER || kind == ErrorKind.TIMEOUT, fault + " " + kind);
        assertTrue(closed.await(20, TimeUnit.SECONDS), fault);
        assertFalse(call.body.isDone());
      }
    }
  }
}
