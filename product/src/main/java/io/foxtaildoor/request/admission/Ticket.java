package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/** A request that waits for a slot or holds one. */
public final class Ticket<T> {
  /** Where a request is on its way. */
  enum State {
    QUEUED,
    RUNNING,
    ENDED
  }

  private final T request;
  private final Rank rank;
  private final long deadlineNanos;
  private final long objectiveNanos;
  private final long offeredNanos;
  private final long sequence;
  private long startedNanos;
  private State state = State.QUEUED;

  Ticket(
      T request,
      Rank rank,
      long deadlineNanos,
      long objectiveNanos,
      long offeredNanos,
      long sequence) {
    this.request = request;
    this.rank = rank;
    this.deadlineNanos = deadlineNanos;
    this.objectiveNanos = objectiveNanos;
    this.offeredNanos = offeredNanos;
    this.sequence = sequence;
  }

  public T request() {
    return request;
  }

  public Rank rank() {
    return rank;
  }

  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Time until which an answer has its full worth; the deadline when the request states none. */
  long objectiveNanos() {
    return objectiveNanos;
  }

  /** Whether the request loses worth before its deadline; a call without a second try does not. */
  boolean hasObjective() {
    return objectiveNanos != deadlineNanos;
  }

  long offeredNanos() {
    return offeredNanos;
  }

  /** Time that the request waited for its slot. */
  public long waitNanos() {
    return startedNanos - offeredNanos;
  }

  /** Start of the time in the slot. */
  public long startedNanos() {
    return startedNanos;
  }

  State state() {
    return state;
  }

  void markRunning(long nowNanos) {
    state = State.RUNNING;
    startedNanos = nowNanos;
  }

  void markEnded() {
    state = State.ENDED;
  }

  /** Orders by objective, then as {@link #compareDeadline}. */
  int compareObjective(Ticket<?> other) {
    int byObjective = Long.signum(objectiveNanos - other.objectiveNanos);
    return byObjective != 0 ? byObjective : compareDeadline(other);
  }

  /** Orders by deadline; the differences allow for a monotonic clock that wraps. */
  int compareDeadline(Ticket<?> other) {
    int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
    return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
  }

  int compareArrival(Ticket<?> other) {
    return Long.compare(sequence, other.sequence);
  }
}
