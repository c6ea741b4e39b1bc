package io.foxtaildoor.common;

import io.netty.util.concurrent.EventExecutorGroup;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay; tasks must not block. */
@FunctionalInterface
public interface TaskScheduler {
  /** Runs a task once, after a delay in nanoseconds. */
  void schedule(long delayNanos, Runnable task);

  /** Schedules on Netty's executors. */
  @SuppressWarnings("FutureReturnValueIgnored") // Tasks are never cancelled or waited for.
  static TaskScheduler on(EventExecutorGroup group) {
    return (delayNanos, task) -> group.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }
}
