package io.foxtaildoor.process.membership;

/**
 * A known node: its record, and the times that only the local node keeps for it. The record is
 * guarded by its shard in {@link NodeTable}; the times are accessed only by the thread that runs
 * {@link SwimCore}.
 */
final class KnownNode {
  /** Value of {@link #suspectDeadline} while no suspicion is running. */
  static final long NOT_SUSPECTED = Long.MIN_VALUE;

  private NodeRecord record;
  private long suspectDeadline = NOT_SUSPECTED;
  private long departedAt;

  KnownNode(NodeRecord record) {
    this.record = record;
  }

  NodeRecord record() {
    return record;
  }

  void setRecord(NodeRecord newRecord) {
    record = newRecord;
  }

  /** Time at which the running suspicion period ends, or {@link #NOT_SUSPECTED}. */
  long suspectDeadline() {
    return suspectDeadline;
  }

  void setSuspectDeadline(long deadline) {
    suspectDeadline = deadline;
  }

  boolean isSuspected() {
    return suspectDeadline != NOT_SUSPECTED;
  }

  /** Time at which the node became DEAD or LEFT. */
  long departedAt() {
    return departedAt;
  }

  void setDepartedAt(long nanos) {
    departedAt = nanos;
  }
}
