package io.foxtaildoor.connection.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Limits the idle time between requests, and the time from the first byte of a request to the end
 * of its head.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
  /**
   * User event that is fired when a request has started to arrive but its head is not complete in
   * time.
   */
  static final Object HEAD_TIMEOUT_EVENT = new Object();

  /** User event that is fired when no request has started to arrive in time. */
  static final Object IDLE_TIMEOUT_EVENT = new Object();

  private final Supplier<Duration> headTimeout;
  private final Supplier<Duration> idleTimeout;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private boolean waiting;
  private boolean requestStarted;

  /**
   * Creates a handler. The timeouts may change over time; each wait uses the value at its start.
   */
  RequestTimeoutHandler(Supplier<Duration> headTimeout, Supplier<Duration> idleTimeout) {
    this.headTimeout = headTimeout;
    this.idleTimeout = idleTimeout;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    cancel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (waiting && !requestStarted) {
      requestStarted = true;
      schedule(headTimeout.get(), HEAD_TIMEOUT_EVENT);
    }
    ctx.fireChannelRead(message);
  }

  /** Starts waiting for the next request. */
  void awaitRequest() {
    waiting = true;
    requestStarted = false;
    schedule(idleTimeout.get(), IDLE_TIMEOUT_EVENT);
  }

  /** Starts waiting for the rest of a request that has already been answered. */
  void awaitRequestRemainder() {
    waiting = true;
    requestStarted = true;
    schedule(headTimeout.get(), HEAD_TIMEOUT_EVENT);
  }

  /** Stops waiting and cancels the timer. */
  void stopWaiting() {
    waiting = false;
    cancel();
  }

  /** Returns whether a part of the next request has arrived. */
  boolean hasPartialRequest() {
    return waiting && requestStarted;
  }

  private void schedule(Duration time, Object event) {
    cancel();
    timer =
        context
            .executor()
            .schedule(
                () -> context.fireUserEventTriggered(event), time.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void cancel() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
