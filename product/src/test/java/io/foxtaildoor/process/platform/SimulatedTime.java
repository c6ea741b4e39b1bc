package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.TaskScheduler;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** Clock and scheduler of a simulation in one thread; tasks of one time run in their order. */
public final class SimulatedTime implements TaskScheduler, LongSupplier {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));
  private long nowNanos;
  private long sequence;

  private record Task(long atNanos, long sequence, Runnable action) {}

  @Override
  public void schedule(long delayNanos, Runnable task) {
    sequence++;
    tasks.add(new Task(nowNanos + delayNanos, sequence, task));
  }

  @Override
  public long getAsLong() {
    return nowNanos;
  }

  /** Runs all tasks up to a time from now. */
  public void advance(long nanos) {
    long end = nowNanos + nanos;
    while (!tasks.isEmpty() && tasks.peek().atNanos() <= end) {
      Task task = tasks.remove();
      nowNanos = task.atNanos();
      task.action().run();
    }
    nowNanos = end;
  }
}
