package io.foxtaildoor.standins.upstream;

import io.netty.util.concurrent.ScheduledFuture;

/** A request that waits in the queue or occupies a slot. */
final class Job {

  private final String id;
  private final Behaviour behaviour;
  private final long deadlineNanos;
  private final Runnable answer;
  private final Runnable expire;
  private Runnable onEnd;
  private ScheduledFuture<?> timer;
  private boolean cancelled;
  private boolean answered;

  Job(String id, Behaviour behaviour, long deadlineNanos, Runnable answer, Runnable expire) {
    this.id = id;
    this.behaviour = behaviour;
    this.deadlineNanos = deadlineNanos;
    this.answer = answer;
    this.expire = expire;
  }

  String id() {
    return id;
  }

  Behaviour behaviour() {
    return behaviour;
  }

  boolean isExpired(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }

  void onEnd(Runnable action) {
    onEnd = action;
  }

  void timer(ScheduledFuture<?> started) {
    timer = started;
  }

  void answer() {
    answered = true;
    answer.run();
  }

  void expire() {
    answered = true;
    expire.run();
  }

  /**
   * Marks the job as cancelled and stops its timer.
   *
   * @return false when the job was already answered or cancelled
   */
  boolean cancel() {
    if (answered || cancelled) {
      return false;
    }
    cancelled = true;
    if (timer != null) {
      timer.cancel(false);
    }
    return true;
  }

  /** Frees the slot that the job occupies; later calls have no effect. */
  void end() {
    if (onEnd != null) {
      Runnable action = onEnd;
      onEnd = null;
      action.run();
    }
  }
}
