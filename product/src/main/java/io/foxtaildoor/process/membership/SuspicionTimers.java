package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Running suspicion periods, which all have the same length and so end in order. */
final class SuspicionTimers {
  /** End of the suspicion of one node. */
  record Timer(NodeId id, long deadline) {}

  private final long periodNanos;
  private Deque<Timer> timers = new ArrayDeque<>();

  SuspicionTimers(long periodNanos) {
    this.periodNanos = periodNanos;
  }

  /** Starts a period and returns its end. */
  long start(NodeId id, long nowNanos) {
    long deadline = nowNanos + periodNanos;
    timers.addLast(new Timer(id, deadline));
    return deadline;
  }

  /** Removes and returns a timer that ended, or null. */
  Timer poll(long nowNanos) {
    Timer first = timers.peekFirst();
    return first != null && nowNanos - first.deadline() >= 0 ? timers.pollFirst() : null;
  }

  /** Moves all ends and returns the moved timers. */
  List<Timer> extend(long nanos) {
    List<Timer> moved = new ArrayList<>(timers.size());
    for (Timer timer : timers) {
      moved.add(new Timer(timer.id(), timer.deadline() + nanos));
    }
    timers = new ArrayDeque<>(moved);
    return moved;
  }
}
