package io.foxtaildoor.request.admission;

/**
 * Decides which requests a stopping node still accepts. At first it accepts all, because callers
 * need some time to notice the stop. After that it accepts only those that must end, by their
 * deadline, before the node closes its connections, so that no accepted request is cut off.
 * Thread-safe.
 */
public final class StopAdmission {
  private volatile Stop stop;

  private record Stop(long noticeEndNanos, long closeNanos) {}

  /**
   * Begins a stop.
   *
   * @param noticeEndNanos monotonic time until which every request is accepted
   * @param closeNanos monotonic time at which the node closes its connections
   */
  public void begin(long noticeEndNanos, long closeNanos) {
    stop = new Stop(noticeEndNanos, closeNanos);
  }

  /** Returns whether the node accepts a request with a deadline in monotonic time. */
  public boolean accepts(long deadlineNanos, long nowNanos) {
    Stop current = stop;
    return current == null
        || nowNanos - current.noticeEndNanos() < 0
        || deadlineNanos - current.closeNanos() <= 0;
  }
}
