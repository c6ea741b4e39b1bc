package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.process.invariant.Invariant;
import java.io.IOException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Sets up a listener and a connected caller for each test. */
public abstract class CallerTestBase {
  static final String CHECK_REQUEST = "GET /check HTTP/1.1\r\nHost: h\r\n\r\n";

  CallerFixture fixture;
  RawCaller caller;

  @BeforeMethod
  public void startListener() throws IOException {
    fixture = new CallerFixture();
    caller = fixture.connectCaller();
  }

  @AfterMethod(alwaysRun = true)
  public void stopListener() throws IOException {
    caller.close();
    fixture.close();
    assertEquals(fixture.invariants.breaches(Invariant.NOT_RUN_IS_TRUE), 0);
    assertEquals(fixture.invariants.breaches(Invariant.HANDED_OVER_ONCE), 0);
  }

  static String postRequestHead(String path, String headers, int length) {
    String head = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + length;
    return head + "\r\n" + headers + "\r\n";
  }
}
