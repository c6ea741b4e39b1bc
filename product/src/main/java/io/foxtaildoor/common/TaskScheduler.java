package io.foxtaildoor.common;

import io.netty.util.concurrent.EventExecutorGroup;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay; tasks must not block. */
@FunctionalInterface
public interface TaskScheduler {
  /** Runs a task once, after a delay in nanoseconds. */
  void schedule(long delayNanos, Runnable task);

  /** Runs a task once, after a delay. */
  default void schedule(Duration delay, Runnable task) {
    schedule(delay.toNanos(), task);
  }

  /** Returns a future that completes after a delay. */
  default CompletableFuture<Void> delay(Duration delay) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    schedule(delay, () -> future.complete(null));
    return future;
  }

  /** Creates a scheduler on Netty's executors. */
  @SuppressWarnings("FutureReturnValueIgnored") // Tasks are never cancelled or waited for.
  static TaskScheduler on(EventExecutorGroup group) {
    return (delayNanos, task) -> group.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }
}
