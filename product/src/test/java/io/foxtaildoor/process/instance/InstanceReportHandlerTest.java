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
  private List<Runnable> tasks;
  private long now;

  @BeforeMethod
  public void create() {
    store = new MemoryStore();
    events = new ArrayList<>();
    tasks = new ArrayList<>();
    now = 0;
  }

  /** Reports of a node process; a second one stands for a restarted node. */
  private InstanceReportHandler node() {
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
        (delayNanos, task) -> tasks.add(task),
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
  public void reportWithAnOldSequenceIsNoNews() {
    InstanceReportHandler reports = node();
    assertTrue(reports.handleReport(report("i-1", 100, false, 5)).join());
    assertTrue(reports.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of("use i-1"));
  }

  /** Guards against a delayed report of a former instance that replaces its successor. */
  @Test
  public void reportOfAnEarlierStartIsNoNews() {
    InstanceReportHandler reports = node();
    reports.handleReport(report("i-2", 200, false, 1)).join();
    reports.handleReport(report("i-1", 100, false, 99)).join();
    reports.handleReport(report("i-2", 150, false, 99)).join();
    assertEquals(events, List.of("use i-2"));
  }

  /** Guards against a start under a former id whose count begins anew and is taken for old. */
  @Test
  public void newStartUnderTheSameIdIsNews() {
    InstanceReportHandler reports = node();
    reports.handleReport(report("i-1", 100, true, 9)).join();
    reports.handleReport(report("i-1", 200, false, 1)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Guards against an acknowledged leaving that a restarted node forgets. */
  @Test
  public void restartedNodeKeepsAnAcknowledgedLeaving() {
    assertTrue(node().handleReport(report("i-1", 100, true, 5)).join());
    events.clear();
    InstanceReportHandler restarted = node();
    assertTrue(restarted.handleReport(report("i-1", 100, false, 4)).join());
    assertEquals(events, List.of());
  }

  /** Guards against an acknowledgement that only this process knows of. */
  @Test
  public void leavingIsAcknowledgedOnlyWhenThePlatformKeepsIt() {
    InstanceReportHandler reports = node();
    reports.handleReport(report("i-1", 100, false, 1)).join();
    store.setDown(true);
    assertFalse(reports.handleReport(report("i-1", 100, true, 2)).join());
    assertEquals(events, List.of("use i-1", "release i-1"));
    store.setDown(false);
    assertTrue(reports.handleReport(report("i-1", 100, true, 3)).join());
  }

  /** Guards against an instance that leaves without a report and gets requests still. */
  @Test
  public void endWithoutALeavingReportReleases() {
    InstanceReportHandler reports = node();
    reports.handleReport(report("i-1", 100, false, 1)).join();
    assertTrue(reports.handleEnd(new InstanceId("i-1")).join());
    assertTrue(reports.handleReport(report("i-1", 100, false, 2)).join());
    assertEquals(events, List.of("use i-1", "release i-1"));
  }

  /** Guards against the end of a former instance that takes away its successor. */
  @Test
  public void endOfAFormerInstanceLeavesTheNextOneInUse() {
    InstanceReportHandler reports = node();
    reports.handleReport(report("i-1", 100, true, 1)).join();
    reports.handleReport(report("i-2", 200, false, 1)).join();
    assertTrue(reports.handleEnd(new InstanceId("i-1")).join());
    assertEquals(events.get(events.size() - 1), "use i-2");
  }

  /**
   * Guards against a late report that brings an ended instance back when a restarted node knows
   * only its id: it would get requests after its end was acknowledged.
   */
  @Test
  public void lateReportOfAnInstanceEndedAfterARestartIsNoNews() {
    InstanceReportHandler restarted = node();
    assertTrue(restarted.handleEnd(new InstanceId("i-1")).join());
    now += TimeUnit.SECONDS.toNanos(3);
    assertTrue(restarted.handleReport(report("i-1", 100, false, 28)).join());
    assertEquals(events, List.of("release i-1"));
    InstanceReportHandler again = node();
    assertTrue(again.handleReport(report("i-1", 100, false, 29)).join());
    assertEquals(events, List.of("release i-1"));
  }

  /** Guards against a new start under the id of an ended instance that is never used. */
  @Test
  public void newStartAfterAnEndWithUnknownStartIsNews() {
    InstanceReportHandler restarted = node();
    restarted.handleEnd(new InstanceId("i-1")).join();
    restarted.handleReport(report("i-1", 200, false, 1)).join();
    restarted.handleReport(report("i-1", 200, false, 4)).join();
    assertEquals(events, List.of("release i-1", "use i-1", "use i-1"));
  }

  /** Guards against an instance that is ignored for ever because its first reports were lost. */
  @Test
  public void reportsLongAfterTheEndAreNews() {
    InstanceReportHandler restarted = node();
    restarted.handleEnd(new InstanceId("i-1")).join();
    now += TimeUnit.SECONDS.toNanos(11);
    restarted.handleReport(report("i-1", 200, false, 9)).join();
    assertEquals(events, List.of("release i-1", "use i-1"));
  }

  /** Guards against a leaving that a node never learns of because the platform was away. */
  @Test
  public void leavingIsLearntOnceThePlatformIsBack() {
    node().handleReport(report("i-1", 100, true, 5)).join();
    events.clear();
    store.setDown(true);
    InstanceReportHandler restarted = node();
    restarted.handleReport(report("i-1", 100, false, 4)).join();
    assertEquals(events, List.of("use i-1"));
    store.setDown(false);
    List.copyOf(tasks).forEach(Runnable::run);
    assertEquals(events, List.of("use i-1", "release i-1"));
  }
}
