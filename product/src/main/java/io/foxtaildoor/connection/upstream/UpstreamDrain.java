package io.foxtaildoor.connection.upstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * State of the drain of the current upstream instance, which is reset when another instance
 * replaces it. It is confined to one event loop.
 */
final class UpstreamDrain {
  /** Time after which a leaving upstream must not receive any request; set by a requirement. */
  private static final long LEAVING_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Time for which queued requests are still sent to a leaving upstream. It is shorter than {@link
   * #LEAVING_LIMIT_NANOS} to leave time for connecting.
   */
  private static final long QUEUE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  private final EventLoop loop;
  private CompletableFuture<Boolean> drained = new CompletableFuture<>();
  private boolean draining;
  private long startedNanos;

  /** Creates the state of an upstream that is not draining. */
  UpstreamDrain(EventLoop loop) {
    this.loop = loop;
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Starts a drain, or joins the one in progress.
   *
   * @param begin runs when a new drain starts
   * @param refuseQueued runs when the requests that are still queued must be refused
   * @return completes with true when no request is left, or with false when another upstream
   *     replaces the one that is leaving first
   */
  CompletableFuture<Boolean> begin(long nowNanos, Runnable begin, Runnable refuseQueued) {
    if (!draining) {
      draining = true;
      startedNanos = nowNanos;
      begin.run();
      CompletableFuture<Boolean> currentDrain = drained;
      var refusal =
          loop.schedule(
              () -> refuseWhileDraining(refuseQueued), QUEUE_LIMIT_NANOS, TimeUnit.NANOSECONDS);
      var unused = currentDrain.thenRun(() -> refusal.cancel(false));
    }
    return drained.copy();
  }

  private void refuseWhileDraining(Runnable refuseQueued) {
    if (draining) {
      refuseQueued.run();
    }
  }

  /** Updates the number of requests that are left; a drain in progress ends when it is 0. */
  void updateRemainingRequests(int count) {
    if (draining && count == 0) {
      drained.complete(true);
    }
  }

  /** Ends the drain because another upstream replaces the one that left. */
  void upstreamReplaced(int requestsLeft) {
    draining = false;
    drained.complete(requestsLeft == 0);
    drained = new CompletableFuture<>();
  }

  /** Whether a request, even a queued one, may still be sent to the upstream. */
  boolean maySendRequest(long nowNanos) {
    return !draining || nowNanos - startedNanos <= LEAVING_LIMIT_NANOS;
  }
}
