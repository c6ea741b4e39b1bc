package io.foxtaildoor.standins.upstream;

import io.netty.util.concurrent.ScheduledFuture;

/** A request that waits in the queue or occupies a slot. */
final class Job {

  private final String id;
  private final Behaviour behaviour;
  private final long deadlineNanos;
  private final Runnable answerAction;
  private final Runnable expiryAction;
  private Runnable releaseAction;
  private ScheduledFuture<?> completionTimer;
  private boolean cancelled;
  private boolean answered;

  Job(
      String id,
      Behaviour behaviour,
      long deadlineNanos,
      Runnable answerAction,
      Runnable expiryAction) {
    this.id = id;
    this.behaviour = behaviour;
    this.deadlineNanos = deadlineNanos;
    this.answerAction = answerAction;
    this.expiryAction = expiryAction;
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

  void setReleaseAction(Runnable action) {
    releaseAction = action;
  }

  void setCompletionTimer(ScheduledFuture<?> timer) {
    completionTimer = timer;
  }

  void answer() {
    answered = true;
    answerAction.run();
  }

  void expire() {
    answered = true;
    expiryAction.run();
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
    if (completionTimer != null) {
      completionTimer.cancel(false);
    }
    return true;
  }

  /** Frees the slot that the job occupies; later calls have no effect. */
  void releaseSlot() {
    if (releaseAction != null) {
      Runnable action = releaseAction;
      releaseAction = null;
      action.run();
    }
  }
}
