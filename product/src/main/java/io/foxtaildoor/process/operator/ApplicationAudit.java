package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.membership.StatusAnswer;
import io.foxtaildoor.version.approval.ApprovalReceipt;
import io.foxtaildoor.version.approval.Operator;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes an audit entry once an approved configuration version is in force on every node.
 *
 * <p>After an approval it polls the status of all nodes. It tracks one version at a time: a newer
 * version approved through the same node replaces an older one, because it includes the older
 * version's content.
 */
public final class ApplicationAudit {
  private static final Duration MIN_POLL_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time after which tracking of a version ends. The audit entry then states how many nodes have
   * applied the version.
   */
  private static final Duration TRACKING_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Poll interval per node of the fleet. A status query transfers about 160 bytes per node, so the
   * traffic stays near 3 KB per second for any fleet size.
   */
  private static final Duration POLL_INTERVAL_PER_NODE = Duration.ofMillis(50);

  private final Fleet fleet;
  private final Consumer<AuditEntry> trail;
  private final TaskScheduler scheduler;
  private final LongSupplier epochMillis;
  private final Supplier<String> uniqueId;
  private final Object lock = new Object();
  private FollowUp tracked;
  private boolean polling;

  /** Source of the nodes' status. */
  public interface Fleet {
    /** Returns the number of known nodes. */
    int size();

    /** Queries the status of every node. */
    CompletableFuture<List<StatusAnswer>> queryStatus();
  }

  private record FollowUp(Operator operator, ApprovalReceipt receipt, long acceptedMillis) {}

  /** Creates an audit that does not track a version yet. */
  public ApplicationAudit(
      Fleet fleet,
      Consumer<AuditEntry> trail,
      TaskScheduler scheduler,
      LongSupplier epochMillis,
      Supplier<String> uniqueId) {
    this.fleet = fleet;
    this.trail = trail;
    this.scheduler = scheduler;
    this.epochMillis = epochMillis;
    this.uniqueId = uniqueId;
  }

  /** Starts to track the version that an operator's approval created. */
  public void trackApproval(Operator operator, ApprovalReceipt receipt) {
    if (receipt.acceptedBefore()) {
      return;
    }
    synchronized (lock) {
      tracked = new FollowUp(operator, receipt, epochMillis.getAsLong());
      if (polling) {
        return;
      }
      polling = true;
    }
    scheduler.schedule(MIN_POLL_INTERVAL.toNanos(), this::poll);
  }

  private void poll() {
    fleet
        .queryStatus()
        .whenComplete((answers, error) -> handleAnswers(error == null ? answers : List.of()));
  }

  private void handleAnswers(List<StatusAnswer> answers) {
    FollowUp followed;
    synchronized (lock) {
      followed = tracked;
    }
    long version = followed.receipt().stamp().version();
    long inForce = answers.stream().filter(answer -> holdsVersion(answer, version)).count();
    long elapsedMillis = epochMillis.getAsLong() - followed.acceptedMillis();
    boolean complete = !answers.isEmpty() && inForce == answers.size();
    if (complete || elapsedMillis >= TRACKING_TIMEOUT.toMillis()) {
      trail.accept(auditEntry(followed, inForce, answers.size(), elapsedMillis));
    }
    synchronized (lock) {
      boolean newer = !tracked.equals(followed);
      polling = newer || (!complete && elapsedMillis < TRACKING_TIMEOUT.toMillis());
      if (!polling) {
        return;
      }
    }
    scheduler.schedule(pollInterval().toNanos(), this::poll);
  }

  private Duration pollInterval() {
    Duration interval = POLL_INTERVAL_PER_NODE.multipliedBy(fleet.size());
    return interval.compareTo(MIN_POLL_INTERVAL) > 0 ? interval : MIN_POLL_INTERVAL;
  }

  private static boolean holdsVersion(StatusAnswer answer, long version) {
    return answer.status().map(status -> status.heldVersion().version() >= version).orElse(false);
  }

  private AuditEntry auditEntry(FollowUp followed, long inForce, int nodes, long elapsedMillis) {
    ApprovalReceipt receipt = followed.receipt();
    return new AuditEntry(
        uniqueId.get(),
        AuditKind.APPLICATION,
        followed.operator().name(),
        followed.operator().member().value(),
        receipt.team().value(),
        receipt.stamp().version(),
        receipt.stamp().digest().hex(),
        epochMillis.getAsLong(),
        "in force on " + inForce + " of " + nodes + " nodes, seen after " + elapsedMillis + " ms");
  }
}
