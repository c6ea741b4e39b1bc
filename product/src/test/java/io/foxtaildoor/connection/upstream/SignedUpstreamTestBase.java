package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.requestHead;
import static org.testng.Assert.assertEquals;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.upstream.UpstreamFixture.Call;
import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Sets up a server whose upstream signs its responses and names the requests in them. */
public abstract class SignedUpstreamTestBase {
  static final HeaderDialect DIALECT =
      new HeaderDialect(
          "X-Id", "X-Left", "X-Caller", "X-Target", "X-Not-Run", "X-Signature", false);
  static final int BUFFERED_BYTES = 1024;

  UpstreamFixture fixture;

  @BeforeMethod
  public void start() {
    fixture = new UpstreamFixture(9, Duration.ofSeconds(20), BUFFERED_BYTES, DIALECT);
  }

  @AfterMethod
  public void stop() {
    assertEquals(fixture.invariants.totalBreaches(), 0);
    fixture.close();
  }

  static String response(String id, String signature, String rest) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + signature + rest;
  }

  Call call(ScriptedUpstream.Script script) throws IOException {
    ScriptedUpstream upstream = new ScriptedUpstream(script);
    fixture.attach(upstream.address());
    return fixture.call(requestHead("GET", true));
  }
}
