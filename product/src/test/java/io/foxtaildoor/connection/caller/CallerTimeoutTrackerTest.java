package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link CallerTimeoutTracker}. */
public class CallerTimeoutTrackerTest {
  /**
   * Guards against taking the first attempt of a caller with a slightly shorter timeout for a
   * retry.
   */
  @Test
  public void smallDifferencesAreNotTakenForRetries() {
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 1200), 0);
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 1032), 0);
  }

  /** Guards against taking a retry for a first attempt. */
  @Test
  public void retryIsRecognizedByItsShorterTimeout() {
    assertEquals(CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(1200, 790), 410);
  }

  /** Guards against keeping the timeout of a removed route forever. */
  @Test
  public void removedRoutesAreForgotten() {
    CallerTimeoutTracker tracker = new CallerTimeoutTracker();
    assertEquals(tracker.updateLongestTimeout("r", 900), 900);
    assertEquals(tracker.updateLongestTimeout("r", 300), 900);
    tracker.retainRoutes(Set.of());
    assertEquals(tracker.updateLongestTimeout("r", 300), 300);
  }
}
