package io.foxtaildoor.process.instance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.platform.MemoryStore;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Decisions on reports of an instance. */
public class InstanceReportHandlerTest {
  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 8080);

  private MemoryStore store;
  private List<String> events;
  private List<Runnable> scheduledTasks;
  private long now;

  @BeforeMethod
  public void setUp() {
    store = new MemoryStore();
    events = new ArrayList<>();
    scheduledTasks = new ArrayList<>();
    now = 0;
  }

  /** Reports of a node process; a second one stands for a restarted node. */
  private InstanceReportHandler startNode() {
    return new InstanceReportHandler(
        ADDRESS,
        new InstanceReportHandler.UpstreamControl() {
          @Override
          public void activate(InstanceReport report) {
            events.add("use " + report.incarnation().id());
          }

          @Override
          public CompletableFuture<Void> deactivate(Incarnation incarnation) {
            events.add("release " + incarnation.id());
            return CompletableFuture.completedFuture(null);
          }
        },
        new DepartureStore(store, ADDRESS),
        (delayNanos, task) -> scheduledTasks.add(task),
        () -> now);
  }

  private static InstanceReport report(String id, long started, boolean leaving, long sequence) {
    return new InstanceReport(
        new Incarnation(new InstanceId(id), started),
        new ServiceId("bookings"),
        ADDRESS,
        9,
        leaving,
        Duration.ZERO,
        sequence);
  }

  /** Guards against a late report that takes back a newer one of the same instance. */
  @Test
  public void reportWithOldSequenceIsIgnored() {
    InstanceReportHandler handler = startNode();
    assertTrue(handler.handleReport(report("i-1", 100, false, 5)).join());
    assertTrue(handler.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of("use i-1"));
  }

  /** Guards against a delayed report of a former instance that replaces its successor. */
  @Test
  public void reportOfEarlierStartIsIgnored() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-2", 200, false, 1)).join();
    handler.handleReport(report("i-1", 100, false, 99)).join();
    handler.handleReport(report("i-2", 150, false, 99)).join();
    assertEquals(events, List.of("use i-2"));
  }

  /** Guards against a start under a former id whose count begins anew and is taken for old. */
  @Test
  public void newStartUnderSameIdIsUsed() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, true, 9)).join();
    handler.handleReport(report("i-1", 200, false, 1)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Guards against an acknowledged leaving that a restarted node forgets. */
  @Test
  public void restartedNodeRemembersAcknowledgedDeparture() {
    assertTrue(startNode().handleReport(report("i-1", 100, true, 5)).join());
    events.clear();
    InstanceReportHandler restarted = startNode();
    assertTrue(restarted.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of());
  }

  /** Guards against an acknowledgement that only this process knows of. */
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

  /** Guards against an instance that leaves without a report and gets requests still. */
  @Test
  public void endWithoutLeavingReportDeactivatesInstance() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, false, 1)).join();
    assertTrue(handler.handleEnd(new InstanceId("i-1")).join());
    assertTrue(handler.handleReport(report("i-1", 100, false, 2)).join());
    assertEquals(events, List.of("use i-1", "release i-1"));
  }

  /** Guards against the end of a former instance that takes away its successor. */
  @Test
  public void endOfFormerInstanceKeepsSuccessorActive() {
    InstanceReportHandler handler = startNode();
    handler.handleReport(report("i-1", 100, true, 1)).join();
    handler.handleReport(report("i-2", 200, false, 1)).join();
    assertTrue(handler.handleEnd(new InstanceId("i-1")).join());
    assertEquals(events.get(events.size() - 1), "use i-2");
  }

  /**
   * Guards against a late report that brings an ended instance back when a restarted node knows
   * only its id: it would get requests after its end was acknowledged.
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

  /** Guards against a new start under the id of an ended instance that is never used. */
  @Test
  public void newStartAfterEndWithUnknownStartTimeIsUsed() {
    InstanceReportHandler restarted = startNode();
    restarted.handleEnd(new InstanceId("i-1")).join();
    restarted.handleReport(report("i-1", 200, false, 1)).join();
    restarted.handleReport(report("i-1", 200, false, 4)).join();
    assertEquals(events, List.of("release i-1", "use i-1", "use i-1"));
  }

  /** Guards against an instance that is ignored for ever because its first reports were lost. */
  @Test
  public void reportLongAfterEndIsUsed() {
    InstanceReportHandler restarted = startNode();
    restarted.handleEnd(new InstanceId("i-1")).join();
    now += TimeUnit.SECONDS.toNanos(11);
    restarted.handleReport(report("i-1", 200, false, 9)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Guards against a leaving that a node never learns of because the platform was away. */
  @Test
  public void departureIsReadOncePlatformIsAvailableAgain() {
    startNode().handleReport(report("i-1", 100, true, 5)).join();
    events.clear();
    store.setDown(true);
    InstanceReportHandler restarted = startNode();
    restarted.handleReport(report("i-1", 100, false, 4)).join();
    assertEquals(events, List.of("use i-1"));
    store.setDown(false);
    List.copyOf(scheduledTasks).forEach(Runnable::run);
    assertEquals(events, List.of("use i-1", "release i-1"));
  }
}
