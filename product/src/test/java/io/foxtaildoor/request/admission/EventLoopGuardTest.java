package io.foxtaildoor.request.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Rank;
import org.testng.annotations.Test;

/** Tests of {@link EventLoopGuard}. */
public class EventLoopGuardTest {
  private static final long MILLIS = 1_000_000;

  private static EventLoopGuard delayedBy(long millis) {
    EventLoopGuard guard = new EventLoopGuard();
    for (int i = 0; i < 50; i++) {
      guard.recordDelay(millis * MILLIS);
    }
    return guard;
  }

  /**
   * Guards against refusing requests while the event loop keeps up, or after a single long task.
   */
  @Test
  public void smallDelayRefusesNothing() {
    EventLoopGuard guard = delayedBy(1);
    guard.recordDelay(50 * MILLIS);
    for (Rank rank : Rank.values()) {
      assertFalse(guard.shouldRefuse(rank, true), rank.name());
    }
  }

  /** Guards against refusing urgent requests before those of lower ranks. */
  @Test
  public void lowerRanksAreRefusedFirst() {
    for (long millis = 0; millis < 200; millis++) {
      EventLoopGuard guard = delayedBy(millis);
      boolean higherRefused = false;
      for (Rank rank : Rank.values()) {
        assertTrue(!higherRefused || guard.shouldRefuse(rank, false), millis + " ms, " + rank);
        assertTrue(!guard.shouldRefuse(rank, false) || guard.shouldRefuse(rank, true), rank.name());
        higherRefused |= guard.shouldRefuse(rank, false);
      }
    }
  }

  /** Guards against accepting requests while the event loop is far behind. */
  @Test
  public void largeDelayRefusesAllRanks() {
    assertTrue(delayedBy(200).shouldRefuse(Rank.URGENT, false));
    assertEquals(Math.round(delayedBy(200).meanDelayMillis()), 200);
  }

  /**
   * Guards against work for callers that gave up while their request waited unread in the event
   * loop.
   */
  @Test
  public void detectsRequestsThatExpiredUnread() {
    assertFalse(new EventLoopGuard().hasProbablyExpired(0));
    assertTrue(delayedBy(400).hasProbablyExpired(350 * MILLIS));
    assertFalse(delayedBy(400).hasProbablyExpired(500 * MILLIS));
  }
}
