package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/** A request that waits for a slot or holds one. */
public final class Ticket<T> {
  /** Progress of a request through the queue. */
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

  /**
   * Time until which a response is fully useful; equals the deadline when the request has no
   * objective.
   */
  long objectiveNanos() {
    return objectiveNanos;
  }

  /**
   * Whether the request has an objective besides its deadline. A call whose caller cannot retry it
   * has none.
   */
  boolean hasObjective() {
    return objectiveNanos != deadlineNanos;
  }

  long offeredNanos() {
    return offeredNanos;
  }

  /** Nanoseconds for which the request waited for its slot. */
  public long waitNanos() {
    return startedNanos - offeredNanos;
  }

  /** Time at which the request got its slot. */
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

  /** Orders by objective, then like {@link #compareDeadline}. */
  int compareObjective(Ticket<?> other) {
    int byObjective = Long.signum(objectiveNanos - other.objectiveNanos);
    return byObjective != 0 ? byObjective : compareDeadline(other);
  }

  /**
   * Orders by deadline, then by arrival. Compares the sign of differences, because the monotonic
   * clock may wrap around.
   */
  int compareDeadline(Ticket<?> other) {
    int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
    return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
  }

  int compareArrival(Ticket<?> other) {
    return Long.compare(sequence, other.sequence);
  }
}
