package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Timers of the running suspicion periods, which all have the same length and therefore end in the
 * order of their start.
 */
final class SuspicionTimers {
  /** The end of the suspicion period of a node. */
  record Timer(NodeId id, long deadline) {}

  private final long periodNanos;
  private Deque<Timer> timers = new ArrayDeque<>();

  SuspicionTimers(long periodNanos) {
    this.periodNanos = periodNanos;
  }

  /** Starts the suspicion period of a node and returns its deadline. */
  long start(NodeId id, long nowNanos) {
    long deadline = nowNanos + periodNanos;
    timers.addLast(new Timer(id, deadline));
    return deadline;
  }

  /** Removes and returns a timer whose deadline has passed, or null. */
  Timer poll(long nowNanos) {
    Timer earliest = timers.peekFirst();
    return earliest != null && nowNanos - earliest.deadline() >= 0 ? timers.pollFirst() : null;
  }

  /** Extends all deadlines and returns the new timers. */
  List<Timer> extend(long nanos) {
    List<Timer> extended = new ArrayList<>(timers.size());
    for (Timer timer : timers) {
      extended.add(new Timer(timer.id(), timer.deadline() + nanos));
    }
    timers = new ArrayDeque<>(extended);
    return extended;
  }
}
