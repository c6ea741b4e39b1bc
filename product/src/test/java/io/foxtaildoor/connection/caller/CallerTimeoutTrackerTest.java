package io.foxtaildoor.connection.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link CallerTimeoutTracker}. */
public class CallerTimeoutTrackerTest {
  private static final Duration LONGEST_DEADLINE = Duration.ofMillis(600);

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

  /**
   * Guards against serving requests of clients with short deadlines without their objective: each
   * of them then takes a slot although its response comes too late.
   */
  @Test
  public void routeOfClientsIsRecognizedAmongPossibleCalls() {
    CallerTimeoutTracker tracker = trackerWithLongestDeadline();
    boolean usedByClients = false;
    for (int i = 0; i < 200; i++) {
      usedByClients = tracker.updateClientUse("r", i % 5 > 0, 2 * LONGEST_DEADLINE.toNanos());
    }
    assertTrue(usedByClients);
  }

  /** Guards against refusing calls, which fails the requests of clients that wait for them. */
  @Test
  public void routeOfCallsIsNotTakenForOneOfClients() {
    CallerTimeoutTracker tracker = trackerWithLongestDeadline();
    for (int i = 0; i < 200; i++) {
      assertFalse(tracker.updateClientUse("r", true, 2 * LONGEST_DEADLINE.toNanos()));
    }
  }

  /**
   * Guards against taking the calls of runs that began before a restart of the node for requests of
   * clients.
   */
  @Test
  public void requestsAfterRestartAreNoEvidence() {
    CallerTimeoutTracker tracker = trackerWithLongestDeadline();
    for (int i = 0; i < 200; i++) {
      assertFalse(tracker.updateClientUse("r", false, LONGEST_DEADLINE.toNanos() - 1));
    }
    assertFalse(tracker.updateClientUse("r", true, LONGEST_DEADLINE.toNanos()));
  }

  private static CallerTimeoutTracker trackerWithLongestDeadline() {
    CallerTimeoutTracker tracker = new CallerTimeoutTracker(0);
    tracker.applyConfiguration(Set.of("r"), LONGEST_DEADLINE);
    return tracker;
  }

  /** Guards against keeping the timeout of a removed route forever. */
  @Test
  public void removedRoutesAreForgotten() {
    CallerTimeoutTracker tracker = new CallerTimeoutTracker(0);
    assertEquals(tracker.updateLongestTimeout("r", 900), 900);
    assertEquals(tracker.updateLongestTimeout("r", 300), 900);
    tracker.applyConfiguration(Set.of(), Duration.ZERO);
    assertEquals(tracker.updateLongestTimeout("r", 300), 300);
  }
}
