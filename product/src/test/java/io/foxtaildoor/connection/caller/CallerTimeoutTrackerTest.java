package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link CallerTimeoutTracker}. */
public class CallerPatienceTest {
  /** Guards against first tries of less patient callers that are taken for repeated ones. */
  @Test
  public void callersDifferAtTheirFirstTry() {
    assertEquals(CallerTimeoutTracker.elapsedMillis(1200, 1200), 0);
    assertEquals(CallerTimeoutTracker.elapsedMillis(1200, 1032), 0);
  }

  /** Guards against a repeated request that is taken for a first try. */
  @Test
  public void repeatedRequestHasLostItsWait() {
    assertEquals(CallerTimeoutTracker.elapsedMillis(1200, 790), 410);
  }

  /** Guards against a time of a former route that stays for ever. */
  @Test
  public void removedRoutesAreForgotten() {
    CallerTimeoutTracker patience = new CallerTimeoutTracker();
    assertEquals(patience.longestMillis("r", 900), 900);
    assertEquals(patience.longestMillis("r", 300), 900);
    patience.retainRoutes(Set.of());
    assertEquals(patience.longestMillis("r", 300), 300);
  }
}
