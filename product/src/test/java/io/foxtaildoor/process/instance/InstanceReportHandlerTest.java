package io.foxtaildoor.process.instance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ServiceId;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link InstanceReportHandler}. */
public class InstanceReportHandlerTest extends InstanceReportHandlerTestBase {
  /** Guards against a delayed report that overrides a newer one of the same instance. */
  @Test
  public void reportWithOldSequenceIsIgnored() {
    InstanceReportHandler handler = startNode();
    assertTrue(handler.handleReport(report("i-1", 100, false, 5)).join());
    assertTrue(handler.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of("use i-1"));
  }

  /** Guards against a delayed report of an earlier instance that replaces its successor. */
  @Test
  public void reportOfEarlierStartIsIgnored() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-2", 200, false, 1)).join();
    handler.handleReport(report("i-1", 100, false, 99)).join();
    handler.handleReport(report("i-2", 150, false, 99)).join();
    assertEquals(events, List.of("use i-2"));
  }

  /**
   * Guards against a new incarnation under a known id that is taken for outdated because its
   * sequence numbers start again.
   */
  @Test
  public void newStartUnderSameIdIsUsed() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, true, 9)).join();
    handler.handleReport(report("i-1", 200, false, 1)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Guards against a restarted node that forgets an acknowledged departure. */
  @Test
  public void restartedNodeRemembersAcknowledgedDeparture() {
    assertTrue(startNode().handleReport(report("i-1", 100, true, 5)).join());
    events.clear();
    InstanceReportHandler restarted = startNode();
    assertTrue(restarted.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of());
  }

  /** Guards against a departure that is acknowledged before the platform has stored it. */
  @Test
  public void departureIsAcknowledgedOnlyOnceStoredOnPlatform() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, false, 1)).join();
    store.setDown(true);
    assertFalse(handler.handleReport(report("i-1", 100, true, 2)).join());
    assertEquals(events, List.of("use i-1", "release i-1"));
    store.setDown(false);
    assertTrue(handler.handleReport(report("i-1", 100, true, 3)).join());
  }

  /** Guards against an instance that ends without a leaving report and still gets requests. */
  @Test
  public void endWithoutLeavingReportDeactivatesInstance() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, false, 1)).join();
    assertTrue(handler.handleEnd(new InstanceId("i-1")).join());
    assertTrue(handler.handleReport(report("i-1", 100, false, 2)).join());
    assertEquals(events, List.of("use i-1", "release i-1"));
  }

  /** Guards against the end of an earlier instance that deactivates its successor. */
  @Test
  public void endOfFormerInstanceKeepsSuccessorActive() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, true, 1)).join();
    handler.handleReport(report("i-2", 200, false, 1)).join();
    assertTrue(handler.handleEnd(new InstanceId("i-1")).join());
    assertEquals(events.get(events.size() - 1), "use i-2");
  }

  /**
   * Guards against a delayed report that reactivates an ended instance of which a restarted node
   * knows only the id: the instance would get requests after its end was acknowledged.
   */
  @Test
  public void lateReportOfInstanceEndedAfterNodeRestartIsIgnored() {
    InstanceReportHandler restarted = startNode();
    assertTrue(restarted.handleEnd(new InstanceId("i-1")).join());
    now += TimeUnit.SECONDS.toNanos(3);
    assertTrue(restarted.handleReport(report("i-1", 100, false, 28)).join());
    assertEquals(events, List.of("release i-1"));
    InstanceReportHandler restartedAgain = startNode();
    assertTrue(restartedAgain.handleReport(report("i-1", 100, false, 29)).join());
    assertEquals(events, List.of("release i-1"));
  }

  /** Guards against a new incarnation under the id of an ended instance that is never activated. */
  @Test
  public void newStartAfterEndWithUnknownStartTimeIsUsed() {
    InstanceReportHandler restarted = startNode();
    restarted.handleEnd(new InstanceId("i-1")).join();
    restarted.handleReport(report("i-1", 200, false, 1)).join();
    restarted.handleReport(report("i-1", 200, false, 4)).join();
    assertEquals(events, List.of("release i-1", "use i-1", "use i-1"));
  }

  /** Guards against an instance that is ignored forever because its first reports were lost. */
  @Test
  public void reportLongAfterEndIsUsed() {
    InstanceReportHandler restarted = startNode();
    restarted.handleEnd(new InstanceId("i-1")).join();
    now += TimeUnit.SECONDS.toNanos(11);
    restarted.handleReport(report("i-1", 200, false, 9)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Tests of reports that another writer sends under the id of the instance. */
  public static final class ReportsOfAnotherWriter extends InstanceReportHandlerTestBase {
    private static InstanceReport strayReport(long started) {
      InstanceReport report = report("i-1", started, false, 1);
      return new InstanceReport(
          report.incarnation(),
          new ServiceId("unknown"),
          report.address(),
          report.capacity(),
          report.leaving(),
          report.remainingWarmUp(),
          report.sequence());
    }

    /**
     * Guards against a report of an unknown service that replaces the instance, whose own reports
     * are then taken for those of an earlier one.
     */
    @Test
    public void reportOfAnotherServiceIsIgnored() {
      InstanceReportHandler handler = startNode();
      handler.handleReport(report("i-1", 100, false, 1)).join();
      handler.handleReport(strayReport(900)).join();
      assertTrue(handler.handleReport(report("i-1", 100, true, 2)).join());
      assertEquals(events, List.of("use i-1", "release i-1"));
    }

    /** Guards against the same after a restart, when the node knows no instance yet. */
    @Test
    public void reportOfAnotherServiceAfterRestartIsIgnored() {
      InstanceReportHandler restarted = startNode();
      restarted.handleReport(strayReport(900)).join();
      restarted.handleReport(report("i-1", 100, false, 7)).join();
      assertTrue(restarted.handleReport(report("i-1", 100, true, 8)).join());
      assertEquals(events, List.of("use i-1", "release i-1"));
    }

    /** Guards against a leaving report that is acknowledged without effect. */
    @Test
    public void leavingReportWithoutEffectIsNotAcknowledged() {
      InstanceReportHandler handler = startNode();
      handler.handleReport(report("i-1", 900, false, 1)).join();
      assertFalse(handler.handleReport(report("i-1", 100, true, 8)).join());
    }

    /** Guards against a leaving report that is ignored because of a later sequence number. */
    @Test
    public void leavingReportWithOldSequenceDeactivatesInstance() {
      InstanceReportHandler handler = startNode();
      handler.handleReport(report("i-1", 100, false, 99)).join();
      assertTrue(handler.handleReport(report("i-1", 100, true, 8)).join());
      assertEquals(events, List.of("use i-1", "release i-1"));
    }

    /**
     * Guards against an instance that is ignored for good because it has an earlier start time than
     * one before it: the clock of its host was set back.
     */
    @Test
    public void instanceWithEarlierStartIsUsedOnceTheOtherIsSilent() {
      InstanceReportHandler handler = startNode();
      handler.handleReport(report("i-1", 900, false, 1)).join();
      now += TimeUnit.SECONDS.toNanos(9);
      handler.handleReport(report("i-2", 100, false, 1)).join();
      assertEquals(events, List.of("use i-1"));
      now += TimeUnit.SECONDS.toNanos(1);
      handler.handleReport(report("i-2", 100, false, 2)).join();
      assertEquals(events, List.of("use i-1", "use i-2"));
    }
  }

  /** Tests of a node that restarts while the platform does not answer. */
  public static final class RestartWithoutPlatform extends InstanceReportHandlerTestBase {
    /** Guards against a departed instance that is used again because of a delayed report. */
    @Test
    public void departedInstanceIsNotUsed() {
      startNode().handleReport(report("i-1", 100, true, 5)).join();
      InstanceReportHandler restarted = restartWithoutPlatform();
      assertTrue(restarted.handleReport(report("i-1", 100, false, 4)).join());
      assertEquals(events, List.of());
      restorePlatform();
      assertEquals(events, List.of());
      assertTrue(restarted.handleReport(report("i-1", 100, false, 4)).join());
      assertEquals(events, List.of());
    }

    /**
     * Guards against the same for an instance that ended without a leaving report while the node
     * knew only its id.
     */
    @Test
    public void instanceThatEndedUnderKnownIdIsNotUsed() {
      startNode().handleEnd(new InstanceId("i-1")).join();
      InstanceReportHandler restarted = restartWithoutPlatform();
      restarted.handleReport(report("i-1", 100, false, 28)).join();
      restorePlatform();
      restarted.handleReport(report("i-1", 100, false, 29)).join();
      assertEquals(events, List.of());
    }

    /** Guards against the same while another instance ends before the platform answers. */
    @Test
    public void departedInstanceIsNotUsedAfterEndOfAnother() {
      startNode().handleReport(report("i-2", 200, true, 5)).join();
      InstanceReportHandler restarted = restartWithoutPlatform();
      restarted.handleEnd(new InstanceId("i-1")).join();
      events.clear();
      restarted.handleReport(report("i-2", 200, false, 3)).join();
      restorePlatform();
      restarted.handleReport(report("i-2", 200, false, 4)).join();
      assertEquals(events, List.of());
    }

    /** Guards against a live instance that waits for its next report once the platform answers. */
    @Test
    public void liveInstanceIsUsedOncePlatformIsAvailableAgain() {
      startNode().handleReport(report("i-1", 100, true, 5)).join();
      InstanceReportHandler restarted = restartWithoutPlatform();
      restarted.handleReport(report("i-2", 200, false, 1)).join();
      assertEquals(events, List.of());
      restorePlatform();
      assertEquals(events, List.of("use i-2"));
    }

    /** Guards against a live instance that is unused for the whole of a long outage. */
    @Test
    public void liveInstanceIsUsedOnceNoReportCanBeDelayed() {
      InstanceReportHandler restarted = restartWithoutPlatform();
      restarted.handleReport(report("i-1", 100, false, 8)).join();
      now += TimeUnit.SECONDS.toNanos(9);
      restarted.handleReport(report("i-1", 100, false, 14)).join();
      assertEquals(events, List.of());
      now += TimeUnit.SECONDS.toNanos(1);
      restarted.handleReport(report("i-1", 100, false, 15)).join();
      assertEquals(events, List.of("use i-1"));
    }

    /** Guards against an instance that is used although it left before the platform answered. */
    @Test
    public void instanceThatLeavesMeanwhileIsNotUsed() {
      InstanceReportHandler restarted = restartWithoutPlatform();
      restarted.handleReport(report("i-1", 100, false, 8)).join();
      assertFalse(restarted.handleEnd(new InstanceId("i-1")).join());
      restorePlatform();
      assertEquals(events, List.of("release i-1"));
    }

    /**
     * Guards against a stored departure that a node never reads because the platform was
     * unavailable when the node started.
     */
    @Test
    public void departureIsReadOncePlatformIsAvailableAgain() {
      startNode().handleReport(report("i-1", 100, true, 5)).join();
      InstanceReportHandler restarted = restartWithoutPlatform();
      now += TimeUnit.SECONDS.toNanos(10);
      restarted.handleReport(report("i-1", 100, false, 4)).join();
      assertEquals(events, List.of("use i-1"));
      restorePlatform();
      assertEquals(events, List.of("use i-1", "release i-1"));
    }

    private InstanceReportHandler restartWithoutPlatform() {
      events.clear();
      store.setDown(true);
      return startNode();
    }

    private void restorePlatform() {
      store.setDown(false);
      List.copyOf(scheduledTasks).forEach(Runnable::run);
    }
  }
}
