package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.TaskScheduler;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Clock and scheduler of a single-threaded simulation. Tasks that are due at the same time run in
 * the order in which they were added, or in a seeded random order.
 */
public final class VirtualTime implements Executor, TaskScheduler, LongSupplier {
  /** Maximum number of tasks in one run; a run with more is assumed never to end. */
  private static final int MAX_TASKS = 2_000_000;

  /** Start time. It is not 0, so that code that confuses points in time with durations fails. */
  private static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000_000);

  private record Task(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::order));
  private final LongSupplier order;
  private long nowNanos = START_NANOS;
  private long added;

  /** Creates a clock that runs tasks due at the same time in the order in which they were added. */
  public VirtualTime() {
    order = () -> added;
  }

  /** Creates a clock that runs tasks due at the same time in random order. */
  public VirtualTime(Random random) {
    order = random::nextLong;
  }

  /** Returns the current virtual time in nanoseconds. */
  @Override
  public long getAsLong() {
    return nowNanos;
  }

  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos);
  }

  @Override
  public void execute(Runnable action) {
    schedule(0, action);
  }

  @Override
  public void schedule(long delayNanos, Runnable task) {
    added++;
    tasks.add(new Task(nowNanos + delayNanos, order.getAsLong(), task));
  }

  /** Advances the clock by a duration and runs all tasks that become due. */
  public void advance(Duration span) {
    advance(span.toNanos());
  }

  /** Advances the clock by a duration in nanoseconds and runs all tasks that become due. */
  public void advance(long nanos) {
    long end = nowNanos + nanos;
    for (int i = 0; !tasks.isEmpty() && tasks.peek().atNanos() <= end; i++) {
      if (i == MAX_TASKS) {
        throw new IllegalStateException("more than " + MAX_TASKS + " tasks in one run");
      }
      Task task = tasks.remove();
      nowNanos = Math.max(nowNanos, task.atNanos());
      task.action().run();
    }
    nowNanos = end;
  }
}
