package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.protocol.Header;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CallerHeaders}. */
public class CallerHeadersTest {
  private static final HeaderDialect SIGNED =
      new HeaderDialect(
          "X-Id", "X-Left", "X-Caller", "X-Target", "X-Not-Run", "X-Signature", false);

  @DataProvider
  public Object[][] headers() {
    return new Object[][] {
      {SIGNED, "x-id", "other", true},
      {SIGNED, "X-Id", "r", false},
      {SIGNED, "foxtaildoor-request-id", "other", true},
      {SIGNED, "X-Other", "other", false},
      {HeaderDialect.STANDARD, "Foxtaildoor-Request-Id", "other", true},
      {HeaderDialect.STANDARD, "X-Id", "other", false},
    };
  }

  /** Guards against a response of another request in a dialect with its own id header. */
  @Test(dataProvider = "headers")
  public void idOfAnotherRequestIsFound(
      HeaderDialect dialect, String name, String value, boolean found) {
    Header header = Header.newBuilder().setName(name).setValue(value).build();
    assertEquals(CallerHeaders.containOtherRequestId(List.of(header), dialect, "r"), found, name);
  }
}
