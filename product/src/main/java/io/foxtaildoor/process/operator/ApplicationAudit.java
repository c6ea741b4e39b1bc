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
 * Records in the audit trail when an accepted version is in force on every node.
 *
 * <p>It asks the fleet for its status after the acceptance and follows one version at a time: a
 * newer version on the same node takes the place of an older one, whose content it includes.
 */
public final class ApplicationAudit {
  private static final Duration FIRST_DELAY = Duration.ofSeconds(1);

  /** A node that did not apply a version by then is named in the entry by its absence. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  /**
   * Time between queries for each node of the fleet. A query moves about 160 bytes for each node,
   * so queries stay near 3 KB a second whatever the size of the fleet.
   */
  private static final Duration INTERVAL_PER_NODE = Duration.ofMillis(50);

  private final Fleet fleet;
  private final Consumer<AuditEntry> trail;
  private final TaskScheduler scheduler;
  private final LongSupplier epochMillis;
  private final Supplier<String> uniqueId;
  private final Object lock = new Object();
  private FollowUp current;
  private boolean running;

  /** What the audit asks of membership. */
  public interface Fleet {
    /** Number of known nodes. */
    int size();

    /** Asks every node for its status. */
    CompletableFuture<List<StatusAnswer>> queryStatus();
  }

  private record FollowUp(Operator operator, ApprovalReceipt receipt, long acceptedMillis) {}

  /** Creates an audit that follows nothing yet. */
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

  /** Follows a version that an operator's approval made. */
  public void accepted(Operator operator, ApprovalReceipt receipt) {
    if (receipt.acceptedBefore()) {
      return;
    }
    synchronized (lock) {
      current = new FollowUp(operator, receipt, epochMillis.getAsLong());
      if (running) {
        return;
      }
      running = true;
    }
    scheduler.schedule(FIRST_DELAY.toNanos(), this::query);
  }

  private void query() {
    fleet
        .queryStatus()
        .whenComplete((answers, error) -> conclude(error == null ? answers : List.of()));
  }

  private void conclude(List<StatusAnswer> answers) {
    FollowUp followed;
    synchronized (lock) {
      followed = current;
    }
    long version = followed.receipt().stamp().version();
    long inForce = answers.stream().filter(answer -> holds(answer, version)).count();
    long elapsedMillis = epochMillis.getAsLong() - followed.acceptedMillis();
    boolean complete = !answers.isEmpty() && inForce == answers.size();
    if (complete || elapsedMillis >= LIMIT.toMillis()) {
      trail.accept(entry(followed, inForce, answers.size(), elapsedMillis));
    }
    synchronized (lock) {
      boolean newer = !current.equals(followed);
      running = newer || (!complete && elapsedMillis < LIMIT.toMillis());
      if (!running) {
        return;
      }
    }
    scheduler.schedule(interval().toNanos(), this::query);
  }

  private Duration interval() {
    Duration interval = INTERVAL_PER_NODE.multipliedBy(fleet.size());
    return interval.compareTo(FIRST_DELAY) > 0 ? interval : FIRST_DELAY;
  }

  private static boolean holds(StatusAnswer answer, long version) {
    return answer.status().map(status -> status.heldVersion().version() >= version).orElse(false);
  }

  private AuditEntry entry(FollowUp followed, long inForce, int nodes, long elapsedMillis) {
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
