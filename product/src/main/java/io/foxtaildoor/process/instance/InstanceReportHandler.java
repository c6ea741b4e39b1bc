package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.TaskScheduler;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Decides on the reports of the instance beside this node: which of them is news, and when the
 * leaving of an instance may be acknowledged. Safe for use by several threads.
 *
 * <p>Reports may be delayed and may come from an earlier start of the instance. A leaving instance
 * gets no new request from the moment of its report; the acknowledgement follows when the platform
 * keeps it, so that a restarted node holds to it as well.
 */
public final class InstanceReportHandler {
  private static final System.Logger LOGGER =
      System.getLogger(InstanceReportHandler.class.getName());

  /**
   * Reports may be late by seconds; later ones under the id of an ended instance are of a new one.
   */
  private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(10);

  /** A new start counts its reports anew; the first ones may have been lost. */
  private static final long MAX_INITIAL_SEQUENCE = 3;

  /** Time between two attempts to learn from the platform which instance left last. */
  private static final Duration RECOVERY_RETRY_DELAY = Duration.ofSeconds(1);

  /** Takes the instance into use and out of it. */
  public interface UpstreamControl {
    /** The instance takes requests. */
    void activate(InstanceReport report);

    /** The instance takes no new requests; completes when none can be handed to it any more. */
    CompletableFuture<Void> deactivate(Incarnation incarnation);
  }

  private final InetSocketAddress address;
  private final UpstreamControl upstream;
  private final DepartureStore departureStore;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final CompletableFuture<Void> recovered;
  private Incarnation current;
  private long lastSequence;
  private Incarnation lastDeparted;
  private long lastDepartedAtNanos;
  private CompletableFuture<Boolean> departure;

  /**
   * Creates reports of the instance at an address.
   *
   * @param clock monotonic nanoseconds
   */
  public InstanceReportHandler(
      InetSocketAddress address,
      UpstreamControl upstream,
      DepartureStore departureStore,
      TaskScheduler scheduler,
      LongSupplier clock) {
    this.address = address;
    this.upstream = upstream;
    this.departureStore = departureStore;
    this.scheduler = scheduler;
    this.clock = clock;
    this.recovered = departureStore.read().thenAccept(this::recover);
  }

  /** Takes reports even when the platform is away, and asks it again until it answers. */
  private synchronized void recover(Optional<DepartureStore.LastDeparture> last) {
    if (last.isEmpty()) {
      LOGGER.log(Level.WARNING, "the platform did not tell which instance left last");
      scheduler.schedule(
          RECOVERY_RETRY_DELAY.toNanos(),
          () -> {
            var unused = departureStore.read().thenAccept(this::recover);
          });
      return;
    }
    if (lastDeparted != null) {
      return;
    }
    lastDeparted = last.get().incarnation().orElse(null);
    lastDepartedAtNanos = clock.getAsLong();
    if (current != null && current.equals(lastDeparted)) {
      LOGGER.log(Level.WARNING, "instance {0} has left already", current.id());
      var unused = upstream.deactivate(current);
    }
  }

  /** Takes a report; completes with whether it is acknowledged. */
  public CompletableFuture<Boolean> handleReport(InstanceReport report) {
    return recovered.thenCompose(done -> processReport(report, clock.getAsLong()));
  }

  private synchronized CompletableFuture<Boolean> processReport(
      InstanceReport report, long nowNanos) {
    Incarnation incarnation = report.incarnation();
    if (isStale(incarnation) || !report.address().equals(address)) {
      LOGGER.log(Level.INFO, "a report of former instance {0} was ignored", incarnation.id());
      return acknowledged();
    }
    if (incarnation.equals(lastDeparted)) {
      return report.leaving() ? depart(incarnation) : acknowledged();
    }
    boolean isCurrent = incarnation.equals(current);
    if (!isCurrent && mayBeDelayedReportOfEndedInstance(report, nowNanos)) {
      LOGGER.log(
          Level.INFO,
          "a report of ended instance {0} with sequence {1} was ignored",
          incarnation.id(),
          report.sequence());
      return acknowledged();
    }
    if (isCurrent && report.sequence() <= lastSequence) {
      return acknowledged();
    }
    current = incarnation;
    lastSequence = report.sequence();
    if (report.leaving()) {
      return depart(incarnation);
    }
    if (!isCurrent) {
      LOGGER.log(
          Level.INFO,
          "instance {0} of service {1} reported itself with sequence {2}",
          incarnation.id(),
          report.service(),
          report.sequence());
    }
    upstream.activate(report);
    return acknowledged();
  }

  private boolean isStale(Incarnation incarnation) {
    return (current != null && incarnation.isOlderThan(current))
        || (lastDeparted != null && incarnation.isOlderThan(lastDeparted));
  }

  /**
   * Whether a report may be a late one of the instance that ended under this id, of which only the
   * id is known because the node was restarted before.
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

  /** The instance with an id ends, with or without an earlier report that it leaves. */
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
    // A restarted node that has not heard of the instance yet; its start is not known.
    return current == null
        ? depart(new Incarnation(id, Incarnation.UNKNOWN_START))
        : acknowledged();
  }

  private CompletableFuture<Boolean> depart(Incarnation incarnation) {
    boolean isNew = !incarnation.equals(lastDeparted);
    if (isNew) {
      LOGGER.log(Level.INFO, "instance {0} leaves", incarnation.id());
    }
    if (isNew) {
      lastDepartedAtNanos = clock.getAsLong();
    }
    lastDeparted = incarnation;
    if (isNew || departure == null || (departure.isDone() && !departure.join())) {
      departure =
          upstream
              .deactivate(incarnation)
              .thenCompose(released -> departureStore.record(incarnation))
              .exceptionally(
                  e -> {
                    LOGGER.log(Level.ERROR, "the leaving of an instance was not recorded", e);
                    return false;
                  });
    }
    return departure;
  }
}
