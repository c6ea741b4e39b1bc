package io.foxtaildoor.connection.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Bounds the time between requests and the time from a request's first byte to its head. */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
  /** Event that the handler fires when a request began and its head did not arrive in time. */
  static final Object HEAD_TIMEOUT_EVENT = new Object();

  /** Event that the handler fires when no request began in time. */
  static final Object IDLE_TIMEOUT_EVENT = new Object();

  private final Supplier<Duration> headTimeout;
  private final Supplier<Duration> idleTimeout;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private boolean waiting;
  private boolean requestStarted;

  /** Creates a handler whose bounds may change; each wait takes those of its begin. */
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

  /** Starts to wait for the next request. */
  void awaitRequest() {
    waiting = true;
    requestStarted = false;
    schedule(idleTimeout.get(), IDLE_TIMEOUT_EVENT);
  }

  /** Bounds the time in which the rest of a refused request is read. */
  void awaitRequestRemainder() {
    waiting = true;
    requestStarted = true;
    schedule(headTimeout.get(), HEAD_TIMEOUT_EVENT);
  }

  /** Ends the wait. */
  void stopWaiting() {
    waiting = false;
    cancel();
  }

  /** Whether a part of a request has arrived. */
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
