package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link CallerTimeoutTracker}. */
public class CallerTimeoutTrackerTest {
  /** Guards against first tries of less patient callers that are taken for repeated ones. */
  @Test
  public void smallDifferencesAreNotTakenForRetries() {
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 1200), 0);
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 1032), 0);
  }

  /** Guards against a repeated request that is taken for a first try. */
  @Test
  public void retryIsRecognizedByItsShorterTimeout() {
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 790), 410);
  }

  /** Guards against a time of a former route that stays for ever. */
  @Test
  public void removedRoutesAreForgotten() {
    CallerTimeoutTracker tracker = new CallerTimeoutTracker();
    assertEquals(tracker.updateLongestTimeout("r", 900), 900);
    assertEquals(tracker.updateLongestTimeout("r", 300), 900);
    tracker.retainRoutes(Set.of());
    assertEquals(tracker.updateLongestTimeout("r", 300), 300);
  }
}
