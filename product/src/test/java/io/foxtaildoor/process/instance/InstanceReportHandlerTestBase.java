package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.platform.InMemoryKeyValueStore;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;

/** Sets up a platform and records what a handler does with the upstream. */
public abstract class InstanceReportHandlerTestBase {
  static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 8080);

  static final ServiceId SERVICE = new ServiceId("bookings");

  InMemoryKeyValueStore store;
  List<String> events;
  List<Runnable> scheduledTasks;
  long now;

  @BeforeMethod
  public void setUp() {
    store = new InMemoryKeyValueStore();
    events = new ArrayList<>();
    scheduledTasks = new ArrayList<>();
    now = 0;
  }

  /** Creates the handler of a node process; a second call stands for a restart of the node. */
  InstanceReportHandler startNode() {
    return new InstanceReportHandler(
        ADDRESS,
        Optional.of(SERVICE),
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

  static InstanceReport report(String id, long started, boolean leaving, long sequence) {
    return new InstanceReport(
        new Incarnation(new InstanceId(id), started),
        SERVICE,
        ADDRESS,
        9,
        leaving,
        Duration.ZERO,
        sequence);
  }
}
