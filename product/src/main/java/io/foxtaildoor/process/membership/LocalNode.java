package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ServiceId;
import java.util.Optional;

/** Holds the record of the local node, which only the node itself changes. */
final class LocalNode {
  private final long announcementExpiryNanos;
  private volatile NodeRecord record;
  private long announcementDeadline;

  LocalNode(NodeRecord record, MembershipSettings settings) {
    this.record = record;
    this.announcementExpiryNanos = settings.announcementExpiry().toNanos();
  }

  /** Returns the current record; may be called by any thread. */
  NodeRecord record() {
    return record;
  }

  boolean isStopping() {
    return record.state() != NodeState.ALIVE;
  }

  /** Raises the incarnation above the one in a received record, which overrides that record. */
  void refute(long otherIncarnation) {
    updateRecord(
        Math.max(otherIncarnation, record.incarnation()) + 1, record.state(), record.upstream());
  }

  /** Announces the upstream or renews its announcement; returns true if the record changed. */
  boolean announce(ServiceId service, int slots, long startedAtNanos, long nowNanos) {
    announcementDeadline = nowNanos + announcementExpiryNanos;
    Optional<UpstreamAnnouncement> current = record.upstream();
    if (current.isPresent()
        && current.get().service().equals(service)
        && current.get().slots() == slots
        && !isNewInstance(current.get(), startedAtNanos)) {
      return false;
    }
    UpstreamAnnouncement announcement = new UpstreamAnnouncement(service, slots, startedAtNanos);
    updateRecord(record.incarnation() + 1, record.state(), Optional.of(announcement));
    return true;
  }

  /** Withdraws the announcement of the upstream; returns true if the record changed. */
  boolean withdraw() {
    if (record.upstream().isEmpty()) {
      return false;
    }
    updateRecord(record.incarnation() + 1, record.state(), Optional.empty());
    return true;
  }

  /** Withdraws an announcement that was not renewed in time; returns true if the record changed. */
  boolean expireAnnouncement(long nowNanos) {
    return record.upstream().isPresent() && nowNanos - announcementDeadline >= 0 && withdraw();
  }

  /** Extends the announcement by the time for which the local process was paused. */
  void extendAnnouncement(long nanos) {
    announcementDeadline += nanos;
  }

  /** Changes the state to LEAVING; returns true if the record changed. */
  boolean leave() {
    return advanceTo(NodeState.LEAVING);
  }

  /** Changes the state to LEFT; returns true if the record changed. */
  boolean markLeft() {
    return advanceTo(NodeState.LEFT);
  }

  private boolean advanceTo(NodeState state) {
    if (record.state().compareTo(state) >= 0) {
      return false;
    }
    updateRecord(record.incarnation() + 1, state, record.upstream());
    return true;
  }

  /**
   * Whether an announcement comes from another upstream instance than the current one. Each renewal
   * states the age of the instance anew, so the computed start times of one instance differ by the
   * delays of the renewals.
   */
  private boolean isNewInstance(UpstreamAnnouncement current, long startedAtNanos) {
    return startedAtNanos - current.startedAtNanos() > announcementExpiryNanos;
  }

  private void updateRecord(
      long incarnation, NodeState state, Optional<UpstreamAnnouncement> upstream) {
    record =
        new NodeRecord(
            record.id(),
            record.address(),
            record.region(),
            record.dataCentre(),
            incarnation,
            state,
            upstream);
  }
}
