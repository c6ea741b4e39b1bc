package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Runs a task once after a delay, for example on an event loop. */
@FunctionalInterface
public interface Delayer {
  /** Runs a task after a delay; the task does not block. */
  void after(Duration delay, Runnable task);

  /** Gives a future that completes after a delay. */
  default CompletableFuture<Void> delay(Duration delay) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    after(delay, () -> future.complete(null));
    return future;
  }
}
