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
  private static final System.Logger LOG = System.getLogger(InstanceReportHandler.class.getName());

  /**
   * Reports may be late by seconds; later ones under the id of an ended instance are of a new one.
   */
  private static final Duration LATE_REPORTS = Duration.ofSeconds(10);

  /** A new start counts its reports anew; the first ones may have been lost. */
  private static final long FIRST_SEQUENCES = 3;

  /** Time between two attempts to learn from the platform which instance left last. */
  private static final Duration RECOVERY_RETRY = Duration.ofSeconds(1);

  /** Takes the instance into use and out of it. */
  public interface UpstreamControl {
    /** The instance takes requests. */
    void activate(InstanceReport report);

    /** The instance takes no new requests; completes when none can be handed to it any more. */
    CompletableFuture<Void> deactivate(Incarnation incarnation);
  }

  private final InetSocketAddress address;
  private final UpstreamControl upstream;
  private final DepartureStore leavingLog;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final CompletableFuture<Void> recovered;
  private Incarnation present;
  private long lastSequence;
  private Incarnation left;
  private long leftSinceNanos;
  private CompletableFuture<Boolean> leaving;

  /**
   * Creates reports of the instance at an address.
   *
   * @param clock monotonic nanoseconds
   */
  public InstanceReportHandler(
      InetSocketAddress address,
      UpstreamControl upstream,
      DepartureStore leavingLog,
      TaskScheduler scheduler,
      LongSupplier clock) {
    this.address = address;
    this.upstream = upstream;
    this.leavingLog = leavingLog;
    this.scheduler = scheduler;
    this.clock = clock;
    this.recovered = leavingLog.read().thenAccept(this::recover);
  }

  /** Takes reports even when the platform is away, and asks it again until it answers. */
  private synchronized void recover(Optional<DepartureStore.LastDeparture> last) {
    if (last.isEmpty()) {
      LOG.log(Level.WARNING, "the platform did not tell which instance left last");
      scheduler.schedule(
          RECOVERY_RETRY.toNanos(),
          () -> {
            var unused = leavingLog.read().thenAccept(this::recover);
          });
      return;
    }
    if (left != null) {
      return;
    }
    left = last.get().incarnation().orElse(null);
    leftSinceNanos = clock.getAsLong();
    if (present != null && present.equals(left)) {
      LOG.log(Level.WARNING, "instance {0} has left already", present.id());
      var unused = upstream.deactivate(present);
    }
  }

  /** Takes a report; completes with whether it is acknowledged. */
  public CompletableFuture<Boolean> handleReport(InstanceReport report) {
    return recovered.thenCompose(done -> decide(report, clock.getAsLong()));
  }

  private synchronized CompletableFuture<Boolean> decide(InstanceReport report, long nowNanos) {
    Incarnation incarnation = report.incarnation();
    if (isOfFormerInstance(incarnation) || !report.address().equals(address)) {
      LOG.log(Level.INFO, "a report of former instance {0} was ignored", incarnation.id());
      return acknowledged();
    }
    if (incarnation.equals(left)) {
      return report.leaving() ? leave(incarnation) : acknowledged();
    }
    boolean known = incarnation.equals(present);
    if (!known && mayHaveEnded(report, nowNanos)) {
      LOG.log(
          Level.INFO,
          "a report of ended instance {0} with sequence {1} was ignored",
          incarnation.id(),
          report.sequence());
      return acknowledged();
    }
    if (known && report.sequence() <= lastSequence) {
      return acknowledged();
    }
    present = incarnation;
    lastSequence = report.sequence();
    if (report.leaving()) {
      return leave(incarnation);
    }
    if (!known) {
      LOG.log(
          Level.INFO,
          "instance {0} of service {1} reported itself with sequence {2}",
          incarnation.id(),
          report.service(),
          report.sequence());
    }
    upstream.activate(report);
    return acknowledged();
  }

  private boolean isOfFormerInstance(Incarnation incarnation) {
    return (present != null && incarnation.isOlderThan(present))
        || (left != null && incarnation.isOlderThan(left));
  }

  /**
   * Whether a report may be a late one of the instance that ended under this id, of which only the
   * id is known because the node was restarted before.
   */
  private boolean mayHaveEnded(InstanceReport report, long nowNanos) {
    return left != null
        && !left.isStartKnown()
        && left.id().equals(report.incarnation().id())
        && report.sequence() > FIRST_SEQUENCES
        && nowNanos - leftSinceNanos < LATE_REPORTS.toNanos();
  }

  private static CompletableFuture<Boolean> acknowledged() {
    return CompletableFuture.completedFuture(true);
  }

  /** The instance with an id ends, with or without an earlier report that it leaves. */
  public CompletableFuture<Boolean> handleEnd(InstanceId id) {
    return recovered.thenCompose(done -> decideEnd(id));
  }

  private synchronized CompletableFuture<Boolean> decideEnd(InstanceId id) {
    if (present != null && present.id().equals(id)) {
      return leave(present);
    }
    if (left != null && left.id().equals(id)) {
      return leave(left);
    }
    // A restarted node that has not heard of the instance yet; its start is not known.
    return present == null ? leave(new Incarnation(id, Incarnation.UNKNOWN_START)) : acknowledged();
  }

  private CompletableFuture<Boolean> leave(Incarnation incarnation) {
    boolean isNew = !incarnation.equals(left);
    if (isNew) {
      LOG.log(Level.INFO, "instance {0} leaves", incarnation.id());
    }
    if (isNew) {
      leftSinceNanos = clock.getAsLong();
    }
    left = incarnation;
    if (isNew || leaving == null || (leaving.isDone() && !leaving.join())) {
      leaving =
          upstream
              .deactivate(incarnation)
              .thenCompose(released -> leavingLog.record(incarnation))
              .exceptionally(
                  e -> {
                    LOG.log(Level.ERROR, "the leaving of an instance was not recorded", e);
                    return false;
                  });
    }
    return leaving;
  }
}
