package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.connection.caller.RawCaller.Response;
import io.foxtaildoor.process.invariant.Invariant;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the planned stop of a {@link CallerListener}. */
public class CallerDrainTest extends CallerTestBase {
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

  /** Guards against a graceful shutdown that aborts requests or accepts new connections. */
  @Test
  public void drainCompletesRequestsInFlight() throws Exception {
    try (RawCaller idle = fixture.connectCaller()) {
      caller.send(CHECK_REQUEST);
      FakeLinkClient.Stream stream = fixture.linkClient.nextStream();
      CompletableFuture<Integer> drained = fixture.listener.beginDrain(DRAIN_TIMEOUT);
      assertTrue(idle.isClosedByPeer());
      stream.sendResponse("last");
      Response response = caller.readResponse();
      assertEquals(response.body(), "last");
      assertEquals(response.headers().get("connection"), "close");
      assertTrue(caller.isClosedByPeer());
      caller.disconnect();
      idle.disconnect();
      assertEquals(
          drained.get(FakeLinkClient.TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(0));
      assertThrows(IOException.class, () -> fixture.connectCaller());
      assertEquals(fixture.invariants.breaches(Invariant.STOP_CUTS_NOTHING), 0);
    }
  }

  /**
   * Guards against a shutdown that waits forever, and against aborted requests that are not
   * reported.
   */
  @Test
  public void drainEndsAtItsTimeout() throws Exception {
    caller.send(CHECK_REQUEST);
    fixture.linkClient.nextStream();
    CompletableFuture<Integer> drained = fixture.listener.beginDrain(Duration.ofMillis(100));
    assertEquals(drained.get(FakeLinkClient.TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(1));
    assertEquals(fixture.invariants.breaches(Invariant.STOP_CUTS_NOTHING), 1);
  }

  /**
   * Guards against a request that a stopping node passes on although it may cut the request off
   * when it closes its connections.
   */
  @Test
  public void requestThatMayOutlastTheStopIsRefused() throws Exception {
    long now = System.nanoTime();
    fixture.stopAdmission.begin(now, now + TimeUnit.SECONDS.toNanos(10));
    caller.send(CHECK_REQUEST);
    Response refusal = caller.readResponse();
    assertEquals(refusal.status(), 503);
    assertEquals(refusal.error(), "leaving");
    assertEquals(refusal.outcome(), "not-run");
    caller.send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.linkClient.nextStream().sendResponse("in time");
    assertEquals(caller.readResponse().body(), "in time");
  }
}
