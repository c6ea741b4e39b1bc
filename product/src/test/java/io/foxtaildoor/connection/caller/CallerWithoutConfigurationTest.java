package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.connection.caller.RawCaller.Response;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CallerListener} of a node that has not received a configuration yet. */
public class CallerWithoutConfigurationTest extends CallerTestBase {
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {CHECK_REQUEST},
      {"GET /none HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"GET /check HTTP/1.1\r\nHost: unknown\r\n\r\n"},
      {postRequestHead("/book", "", 3) + "abc"},
    };
  }

  /**
   * Guards against a restarted node that answers 404 while neither the platform nor a peer has
   * given it a configuration: callers do not retry after 404.
   */
  @Test(dataProvider = "requests")
  public void requestIsRefusedAsNotRun(String request) throws Exception {
    fixture.configuration = ConfigurationSnapshot.EMPTY;
    Response response = caller.send(request).readResponse();
    assertEquals(response.status(), 503);
    assertEquals(response.error(), "not-ready");
    assertEquals(response.outcome(), "not-run");
    assertEquals(fixture.linkClient.openedStreams.get(), 0);
  }
}
