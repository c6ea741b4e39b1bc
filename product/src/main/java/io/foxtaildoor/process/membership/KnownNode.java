package io.foxtaildoor.process.membership;

/**
 * A known node with what the local node alone knows of it. The record is guarded by the shard of
 * {@link NodeTable}; the times belong to the thread of the core.
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

  void setRecord(NodeRecord changed) {
    record = changed;
  }

  /** Time at which the running suspicion ends, or {@link #NOT_SUSPECTED}. */
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
