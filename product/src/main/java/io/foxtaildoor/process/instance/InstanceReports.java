package io.foxtaildoor.process.instance;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Decides on the reports of the instance beside this node: which of them is news, and when the
 * leaving of an instance may be acknowledged. Safe for use by several threads.
 *
 * <p>Reports may be delayed and may come from an earlier start of the instance. A leaving instance
 * gets no new request from the moment of its report; the acknowledgement follows when the platform
 * keeps it, so that a restarted node holds to it as well.
 */
public final class InstanceReports {
  private static final System.Logger LOG = System.getLogger(InstanceReports.class.getName());

  /** Takes the instance into use and out of it. */
  public interface Upstream {
    /** The instance takes requests. */
    void use(InstanceReport report);

    /** The instance takes no new requests; completes when none can be handed to it any more. */
    CompletableFuture<Void> release(Incarnation incarnation);
  }

  private final InetSocketAddress address;
  private final Upstream upstream;
  private final LeavingLog leavingLog;
  private final CompletableFuture<Void> recovered;
  private Incarnation present;
  private long lastSequence;
  private Incarnation left;
  private CompletableFuture<Boolean> leaving;

  /** Creates reports of the instance at an address. */
  public InstanceReports(InetSocketAddress address, Upstream upstream, LeavingLog leavingLog) {
    this.address = address;
    this.upstream = upstream;
    this.leavingLog = leavingLog;
    this.recovered = leavingLog.read().thenAccept(this::recover);
  }

  private synchronized void recover(Optional<LeavingLog.LastLeft> last) {
    if (last.isEmpty()) {
      LOG.log(Level.WARNING, "the platform did not tell which instance left last");
    }
    if (left == null) {
      left = last.flatMap(LeavingLog.LastLeft::incarnation).orElse(null);
    }
  }

  /** Takes a report; completes with whether it is acknowledged. */
  public CompletableFuture<Boolean> reported(InstanceReport report) {
    return recovered.thenCompose(done -> decide(report));
  }

  private synchronized CompletableFuture<Boolean> decide(InstanceReport report) {
    Incarnation incarnation = report.incarnation();
    if (isOfFormerInstance(incarnation) || !report.address().equals(address)) {
      LOG.log(Level.INFO, "a report of former instance {0} was ignored", incarnation.id());
      return acknowledged();
    }
    if (incarnation.equals(left)) {
      return report.leaving() ? leave(incarnation) : acknowledged();
    }
    boolean known = incarnation.equals(present);
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
    upstream.use(report);
    return acknowledged();
  }

  private boolean isOfFormerInstance(Incarnation incarnation) {
    return (present != null && incarnation.isOlderThan(present))
        || (left != null && incarnation.isOlderThan(left));
  }

  private static CompletableFuture<Boolean> acknowledged() {
    return CompletableFuture.completedFuture(true);
  }

  /** The instance with an id ends, with or without an earlier report that it leaves. */
  public CompletableFuture<Boolean> ended(InstanceId id) {
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
    return present == null ? leave(new Incarnation(id, 0)) : acknowledged();
  }

  private CompletableFuture<Boolean> leave(Incarnation incarnation) {
    boolean isNew = !incarnation.equals(left);
    if (isNew) {
      LOG.log(Level.INFO, "instance {0} leaves", incarnation.id());
    }
    left = incarnation;
    if (isNew || leaving == null || (leaving.isDone() && !leaving.join())) {
      leaving =
          upstream
              .release(incarnation)
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
