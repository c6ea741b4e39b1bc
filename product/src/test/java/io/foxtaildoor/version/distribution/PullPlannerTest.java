package io.foxtaildoor.version.distribution;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PullPlanner}. */
public class PullPlannerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final VersionStamp HELD = stamp(5);

  private PullPlanner planner;

  @BeforeMethod
  public void setUp() {
    planner = new PullPlanner(DistributionSettings.defaults(), new Random(1));
  }

  private static VersionStamp stamp(long version) {
    return new VersionStamp(version, Digest.of(new byte[] {(byte) version}));
  }

  private static InetSocketAddress node(int number) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), number);
  }

  /** Guards against many pulls of one version when many nodes announce it simultaneously. */
  @Test
  public void versionIsPulledOnceUntilHedged() {
    for (int i = 1; i <= 20; i++) {
      planner.recordOffer(node(i), stamp(6));
    }
    assertTrue(planner.startNextPull(0, HELD).isPresent());
    assertTrue(planner.startNextPull(0, HELD).isEmpty());
    assertEquals(planner.nanosUntilNext(0, HELD), SECOND);
    assertTrue(
        planner.startNextPull(SECOND, HELD).isPresent(), "a slow pull is hedged by a second one");
    planner.recordOffer(node(30), stamp(7));
    assertTrue(planner.startNextPull(SECOND, HELD).isEmpty(), "at most two pulls are in flight");
  }

  /**
   * Guards against a slow source that delays a newer version, and against two pulls from one
   * source.
   */
  @Test
  public void newerVersionIsPulledImmediatelyFromAnotherSource() {
    planner.recordOffer(node(1), stamp(6));
    assertEquals(planner.startNextPull(0, HELD).orElseThrow().source(), node(1));
    planner.recordOffer(node(1), stamp(7));
    assertTrue(planner.startNextPull(0, HELD).isEmpty());
    planner.recordOffer(node(2), stamp(7));
    planner.recordOffer(node(3), stamp(6));
    assertEquals(planner.startNextPull(0, HELD).orElseThrow().source(), node(2));
  }
}
