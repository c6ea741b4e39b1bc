package io.foxtaildoor.connection.upstream;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The leaving of one upstream instance after the other; confined to one event loop. */
final class UpstreamDrain {
  /** Time after which a leaving upstream receives no request any more, by requirement. */
  private static final long LEAVING_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time for which a leaving upstream is given queued requests; leaves time to connect. */
  private static final long QUEUE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  private final EventLoop loop;
  private final Duration timeout;
  private CompletableFuture<Boolean> drained = new CompletableFuture<>();
  private boolean draining;
  private long startedNanos;

  /**
   * Creates the drain of an upstream that does not leave.
   *
   * @param bound time after which a drain is over with requests left
   */
  UpstreamDrain(EventLoop loop, Duration bound) {
    this.loop = loop;
    this.timeout = bound;
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Begins to drain, or joins a drain in progress.
   *
   * @param begin runs at the begin
   * @param refuseQueued runs when what still waits is to be refused
   * @return completes with true when nothing is left, with false when the bound passed before
   */
  CompletableFuture<Boolean> begin(long nowNanos, Runnable begin, Runnable refuseQueued) {
    if (!draining) {
      draining = true;
      startedNanos = nowNanos;
      begin.run();
      CompletableFuture<Boolean> bounded = drained;
      var refusal =
          loop.schedule(
              () -> refuseWhileDraining(refuseQueued), QUEUE_LIMIT_NANOS, TimeUnit.NANOSECONDS);
      var timer =
          loop.schedule(() -> bounded.complete(false), timeout.toNanos(), TimeUnit.NANOSECONDS);
      var unused =
          bounded.thenRun(
              () -> {
                refusal.cancel(false);
                timer.cancel(false);
              });
    }
    return drained.copy();
  }

  private void refuseWhileDraining(Runnable refuseQueued) {
    if (draining) {
      refuseQueued.run();
    }
  }

  /** Ends a drain in progress when no request is left. */
  void remainingRequests(int count) {
    if (draining && count == 0) {
      drained.complete(true);
    }
  }

  /** Another upstream takes the place of the one that left. */
  void upstreamReplaced(int requestsLeft) {
    draining = false;
    drained.complete(requestsLeft == 0);
    drained = new CompletableFuture<>();
  }

  /** Whether the upstream may receive another request, queued ones included. */
  boolean maySendRequest(long nowNanos) {
    return !draining || nowNanos - startedNanos <= LEAVING_LIMIT_NANOS;
  }
}
