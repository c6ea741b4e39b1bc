package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TaskScheduler;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Processes the reports of the upstream instance on this node's host: discards those that are out
 * of date, activates and deactivates the instance, and decides when the departure of an instance
 * may be acknowledged. Thread-safe.
 *
 * <p>Reports may be delayed and may come from an earlier incarnation of the instance. An instance
 * that reports that it is leaving gets no new requests from that moment. The departure is
 * acknowledged only after it has been stored on the platform, so that a restarted node does not use
 * the instance again. Until a restarted node has read the stored departure, it uses no instance
 * whose report may be a delayed one from before the restart.
 */
public final class InstanceReportHandler {
  private static final System.Logger LOGGER =
      System.getLogger(InstanceReportHandler.class.getName());

  /**
   * Reports may be delayed by several seconds. A report that arrives later than this after the end
   * of an instance, or after the start of the node, was sent after it.
   */
  private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(10);

  /**
   * Highest sequence number by which a new incarnation is recognized. Each incarnation numbers its
   * reports from the beginning, but its first reports may have been lost.
   */
  private static final long MAX_INITIAL_SEQUENCE = 3;

  /** Delay before the platform is asked again which instance departed last. */
  private static final Duration RECOVERY_RETRY_DELAY = Duration.ofSeconds(1);

  /** Activates and deactivates the reported upstream instance. */
  public interface UpstreamControl {
    /** Starts or continues to send requests to the instance. */
    void activate(InstanceReport report);

    /** Stops sending new requests to the instance; completes when none can reach it any more. */
    CompletableFuture<Void> deactivate(Incarnation incarnation);
  }

  private final InetSocketAddress address;
  private final Optional<ServiceId> service;
  private final UpstreamControl upstream;
  private final DepartureStore departureStore;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final long startNanos;
  private final CompletableFuture<Void> recovered;
  private boolean storedDepartureKnown;
  private Incarnation departedBeforeStart;

  /** Newest report of an instance that may have departed before this node started. */
  private InstanceReport heldReport;

  private Incarnation current;
  private long lastSequence;
  private long lastReportAtNanos;
  private Incarnation lastDeparted;
  private long lastDepartedAtNanos;
  private CompletableFuture<Boolean> departure;

  /**
   * Creates a handler for the reports of the instance at an address.
   *
   * @param service service of the instance; reports of other services are ignored. Empty if the
   *     instance may belong to any service
   * @param clock monotonic time in nanoseconds
   */
  public InstanceReportHandler(
      InetSocketAddress address,
      Optional<ServiceId> service,
      UpstreamControl upstream,
      DepartureStore departureStore,
      TaskScheduler scheduler,
      LongSupplier clock) {
    this.address = address;
    this.service = service;
    this.upstream = upstream;
    this.departureStore = departureStore;
    this.scheduler = scheduler;
    this.clock = clock;
    this.startNanos = clock.getAsLong();
    this.recovered = departureStore.read().thenAccept(this::recover);
  }

  /**
   * Restores the last departure that is stored on the platform, and uses the instance whose report
   * was held until then, unless that instance has departed. The platform is asked again until it
   * answers.
   */
  private synchronized void recover(Optional<DepartureStore.LastDeparture> last) {
    if (last.isEmpty()) {
      LOGGER.log(
          Level.WARNING,
          "the last departed instance could not be read from the platform; retrying");
      scheduler.schedule(
          RECOVERY_RETRY_DELAY.toNanos(),
          () -> {
            var unused = departureStore.read().thenAccept(this::recover);
          });
      return;
    }
    long nowNanos = clock.getAsLong();
    storedDepartureKnown = true;
    departedBeforeStart = last.get().incarnation().orElse(null);
    if (lastDeparted == null) {
      lastDeparted = departedBeforeStart;
      lastDepartedAtNanos = nowNanos;
    }
    if (heldReport != null) {
      decideOnHeldReport(nowNanos);
    } else if (current != null && current.equals(departedBeforeStart)) {
      LOGGER.log(
          Level.WARNING,
          "instance {0} is in use but had departed before the restart; deactivating it",
          current.id());
      var unused = upstream.deactivate(current);
    }
  }

  private void decideOnHeldReport(long nowNanos) {
    InstanceReport report = heldReport;
    heldReport = null;
    Incarnation incarnation = report.incarnation();
    if (hasDeparted(incarnation)
        || isStale(incarnation, nowNanos)
        || mayBeDelayedReportOfEndedInstance(report, nowNanos)) {
      LOGGER.log(Level.INFO, "instance {0} had departed before the restart", incarnation.id());
      current = null;
    } else {
      upstream.activate(report);
    }
  }

  /** Processes a report; completes with whether the report is acknowledged. */
  public CompletableFuture<Boolean> handleReport(InstanceReport report) {
    return recovered.thenCompose(done -> processReport(report, clock.getAsLong()));
  }

  private synchronized CompletableFuture<Boolean> processReport(
      InstanceReport report, long nowNanos) {
    Incarnation incarnation = report.incarnation();
    if (!isOfLocalInstance(report)) {
      LOGGER.log(
          Level.WARNING,
          "ignored a report of instance {0} with another address or service",
          incarnation.id());
      return acknowledgeIgnored(report);
    }
    if (isStale(incarnation, nowNanos)) {
      LOGGER.log(Level.INFO, "ignored a report of former instance {0}", incarnation.id());
      return acknowledgeIgnored(report);
    }
    if (hasDeparted(incarnation)) {
      return report.leaving() ? depart(incarnation) : acknowledged();
    }
    boolean isCurrent = incarnation.equals(current);
    if (!isCurrent && mayBeDelayedReportOfEndedInstance(report, nowNanos)) {
      LOGGER.log(
          Level.INFO,
          "ignored a report of ended instance {0} with sequence {1}",
          incarnation.id(),
          report.sequence());
      return acknowledged();
    }
    // A leaving instance stays so, whatever the order in which its reports arrive.
    if (isCurrent && report.sequence() <= lastSequence && !report.leaving()) {
      return acknowledged();
    }
    current = incarnation;
    lastSequence = report.sequence();
    lastReportAtNanos = nowNanos;
    if (report.leaving()) {
      return depart(incarnation);
    }
    if (!isCurrent) {
      LOGGER.log(
          Level.INFO,
          "instance {0} of service {1} sent its first report, with sequence {2}",
          incarnation.id(),
          report.service(),
          report.sequence());
    }
    if (mayHaveDepartedBeforeStart(nowNanos)) {
      hold(report);
    } else {
      heldReport = null;
      upstream.activate(report);
    }
    return acknowledged();
  }

  /**
   * Returns whether the instance of a report that arrives now may have departed before this node
   * started. An earlier process of this node has then acknowledged the departure.
   */
  private boolean mayHaveDepartedBeforeStart(long nowNanos) {
    return !storedDepartureKnown && nowNanos - startNanos < MAX_REPORT_DELAY.toNanos();
  }

  private void hold(InstanceReport report) {
    if (heldReport == null || !heldReport.incarnation().equals(report.incarnation())) {
      LOGGER.log(
          Level.WARNING,
          "instance {0} is not used yet, because the platform does not tell whether it departed"
              + " before the restart",
          report.incarnation().id());
    }
    heldReport = report;
  }

  private boolean hasDeparted(Incarnation incarnation) {
    return incarnation.equals(lastDeparted) || incarnation.equals(departedBeforeStart);
  }

  private boolean isOfLocalInstance(InstanceReport report) {
    return report.address().equals(address) && service.map(report.service()::equals).orElse(true);
  }

  /**
   * Acknowledges a report that has no effect, unless it says that the instance in use is leaving:
   * an acknowledged instance must get no more requests.
   */
  private CompletableFuture<Boolean> acknowledgeIgnored(InstanceReport report) {
    boolean inUse =
        current != null && current.id().equals(report.incarnation().id()) && !hasDeparted(current);
    return CompletableFuture.completedFuture(!report.leaving() || !inUse);
  }

  /**
   * Returns whether a report comes from an instance that started before a known one and has ended.
   * Long after the last sign of the known instance, the report comes from a new one whose clock was
   * set back.
   */
  private boolean isStale(Incarnation incarnation, long nowNanos) {
    return isStaleBeside(current, lastReportAtNanos, incarnation, nowNanos)
        || isStaleBeside(lastDeparted, lastDepartedAtNanos, incarnation, nowNanos)
        || isStaleBeside(departedBeforeStart, startNanos, incarnation, nowNanos);
  }

  private static boolean isStaleBeside(
      Incarnation known, long knownUntilNanos, Incarnation incarnation, long nowNanos) {
    return known != null
        && incarnation.isOlderThan(known)
        && nowNanos - knownUntilNanos < MAX_REPORT_DELAY.toNanos();
  }

  /**
   * Returns whether a report may be a delayed one of the last departed instance. This is uncertain
   * only when the start time of that instance is unknown because the node was restarted before the
   * instance ended.
   */
  private boolean mayBeDelayedReportOfEndedInstance(InstanceReport report, long nowNanos) {
    return lastDeparted != null
        && !lastDeparted.isStartKnown()
        && lastDeparted.id().equals(report.incarnation().id())
        && report.sequence() > MAX_INITIAL_SEQUENCE
        && nowNanos - lastDepartedAtNanos < MAX_REPORT_DELAY.toNanos();
  }

  private static CompletableFuture<Boolean> acknowledged() {
    return CompletableFuture.completedFuture(true);
  }

  /**
   * Processes the end of an instance, whether or not it reported before that it is leaving;
   * completes with whether the end is acknowledged.
   */
  public CompletableFuture<Boolean> handleEnd(InstanceId id) {
    return recovered.thenCompose(done -> processEnd(id));
  }

  private synchronized CompletableFuture<Boolean> processEnd(InstanceId id) {
    if (current != null && current.id().equals(id)) {
      return depart(current);
    }
    if (lastDeparted != null && lastDeparted.id().equals(id)) {
      return depart(lastDeparted);
    }
    // The node was restarted and has received no report of the instance, so its start time is
    // unknown.
    return current == null
        ? depart(new Incarnation(id, Incarnation.UNKNOWN_START))
        : acknowledged();
  }

  private CompletableFuture<Boolean> depart(Incarnation incarnation) {
    boolean isNew = !incarnation.equals(lastDeparted);
    if (isNew) {
      LOGGER.log(Level.INFO, "instance {0} is leaving", incarnation.id());
    }
    if (isNew) {
      lastDepartedAtNanos = clock.getAsLong();
    }
    lastDeparted = incarnation;
    if (heldReport != null && heldReport.incarnation().equals(incarnation)) {
      heldReport = null;
    }
    if (isNew || departure == null || (departure.isDone() && !departure.join())) {
      departure =
          upstream
              .deactivate(incarnation)
              .thenCompose(released -> departureStore.record(incarnation))
              .exceptionally(
                  e -> {
                    LOGGER.log(
                        Level.ERROR,
                        "cannot store the departure of an instance on the platform",
                        e);
                    return false;
                  });
    }
    return departure;
  }
}
