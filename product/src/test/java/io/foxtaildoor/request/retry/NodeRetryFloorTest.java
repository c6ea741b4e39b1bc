package io.foxtaildoor.request.retry;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link NodeRetryFloor}. */
public class NodeRetryFloorTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final double FLEET_FLOOR = 60;

  /**
   * Age of the process in milliseconds, number of nodes that it knows, and number of retries that
   * it may make.
   */
  @DataProvider
  public Object[][] nodes() {
    return new Object[][] {
      {0L, 20, 0.0},
      {9_999L, 20, 0.0},
      {10_000L, 20, 3.0},
      {10_000L, 1, 0.0},
      {60_000L, 2, 30.0},
    };
  }

  /**
   * Guards against nodes that spend the retry floor right after a start, or while they know no
   * other node.
   */
  @Test(dataProvider = "nodes")
  public void recentlyStartedAndIsolatedNodesHaveNoFloor(
      long ageMillis, int known, double expected) {
    NodeRetryFloor floor = new NodeRetryFloor(0);
    long now = Duration.ofMillis(ageMillis).toNanos();
    assertEquals(floor.retriesPerWindow(FLEET_FLOOR, known, WINDOW, now), expected, 1e-9);
  }
}
