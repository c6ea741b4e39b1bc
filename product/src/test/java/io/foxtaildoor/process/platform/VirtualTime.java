package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Executor;

/** Runs tasks in the order of a virtual clock; tasks of one moment run in a seeded random order. */
public final class VirtualTime implements Executor, Delayer {
  /** A run with more tasks is taken for one that does not end. */
  private static final int MAX_TASKS = 2_000_000;

  private record Task(long atMillis, long order, Runnable work) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Random random;
  private long nowMillis = 1_000_000;

  public VirtualTime(Random random) {
    this.random = random;
  }

  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public void execute(Runnable work) {
    after(Duration.ZERO, work);
  }

  @Override
  public void after(Duration delay, Runnable task) {
    tasks.add(new Task(nowMillis + delay.toMillis(), random.nextLong(), task));
  }

  /** Runs all tasks of a span of time. */
  public void run(Duration span) {
    long end = nowMillis + span.toMillis();
    for (int i = 0; !tasks.isEmpty() && tasks.peek().atMillis() <= end; i++) {
      if (i == MAX_TASKS) {
        throw new IllegalStateException("the tasks do not end");
      }
      Task task = tasks.remove();
      nowMillis = Math.max(nowMillis, task.atMillis());
      task.work().run();
    }
    nowMillis = end;
  }
}
