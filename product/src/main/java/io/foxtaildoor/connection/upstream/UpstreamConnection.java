package io.foxtaildoor.connection.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;

/** One connection to the upstream with at most one exchange; confined to the pool's event loop. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
  private final UpstreamPool pool;
  private Channel channel;
  private ExchangeListener listener;
  private boolean used;
  private boolean requestWritten;
  private boolean responseComplete;
  private boolean keepAlive;
  private boolean interimResponse;
  private boolean strayResponse;
  private long idleSinceNanos;
  private Duration keepAliveTimeout = KeepAlive.UNSPECIFIED;

  /** Hears of the exchange that the connection carries. */
  interface ExchangeListener {
    /** At least one byte of the request head was written to the socket. */
    void firstByteWritten();

    /** The whole head was written. */
    void headWritten();

    /** The connection failed before any byte was written. */
    void requestNotWritten(Throwable cause);

    /** More of the body may be written. */
    void bodyWritable();

    /**
     * A final or interim answer head.
     *
     * @return false when the answer belongs to another request and is to be dropped
     */
    boolean responseHead(HttpResponse answer);

    /** A part of the answer, which is released by the caller; the last when {@code end} is set. */
    void responseBody(ByteBuf data, boolean end);

    /** The answer is not HTTP. */
    void responseMalformed(Throwable cause);

    /** The connection ended before the answer did. */
    void connectionLost(String reason);
  }

  UpstreamConnection(UpstreamPool pool) {
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean isActive() {
    return channel.isActive();
  }

  /** Whether the connection carried an exchange before, so that it may be stale. */
  boolean wasUsed() {
    return used;
  }

  /**
   * Whether the connection was unused for too long.
   *
   * @param limit the pool's own limit; what the upstream states shortens it
   */
  boolean isStale(long nowNanos, Duration limit) {
    Duration stated = KeepAlive.reusableTime(keepAliveTimeout);
    Duration shorter = stated.compareTo(limit) < 0 ? stated : limit;
    return nowNanos - idleSinceNanos >= shorter.toNanos();
  }

  void markIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  /** Starts an exchange. */
  void startExchange(ExchangeListener newUser, HttpRequest head, boolean end) {
    listener = newUser;
    requestWritten = false;
    responseComplete = false;
    strayResponse = false;
    keepAlive = false;
    ChannelProgressivePromise promise = channel.newProgressivePromise();
    promise.addListener(new HeadWriteListener(newUser));
    var unused = channel.write(head, promise);
    if (end) {
      writeEnd();
    }
    channel.flush();
  }

  /** Tells apart a head that never reached the socket from one that did in part. */
  private final class HeadWriteListener implements ChannelProgressiveFutureListener {
    private final ExchangeListener listener;
    private boolean firstByteReported;

    HeadWriteListener(ExchangeListener listener) {
      this.listener = listener;
    }

    @Override
    public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
      if (progress > 0) {
        reportFirstByte();
      }
    }

    private void reportFirstByte() {
      if (!firstByteReported) {
        firstByteReported = true;
        listener.firstByteWritten();
      }
    }

    @Override
    public void operationComplete(ChannelProgressiveFuture future) {
      if (future.isSuccess()) {
        reportFirstByte();
        used = true;
        listener.headWritten();
      } else if (!firstByteReported) {
        detach(listener);
        close();
        listener.requestNotWritten(future.cause());
      } else {
        close();
      }
    }
  }

  private void detach(ExchangeListener failed) {
    if (listener == failed) {
      listener = null;
    }
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a part of the body and releases it; runs the action when the socket took it. */
  void writeBody(ByteBuf data, Runnable taken) {
    channel
        .writeAndFlush(new DefaultHttpContent(data))
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                taken.run();
              } else {
                close();
              }
            });
  }

  void writeEnd() {
    channel
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                requestWritten = true;
                finishIfDone();
              } else {
                close();
              }
            });
  }

  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  boolean isReading() {
    return channel.config().isAutoRead();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (listener == null) {
      // Bytes without a request: the next answer on this connection could be misattributed.
      close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      ExchangeListener failed = listener;
      abandon();
      failed.responseMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse answer) {
      interimResponse = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      keepAlive = HttpUtil.isKeepAlive(answer);
      keepAliveTimeout = KeepAlive.timeout(answer).orElse(keepAliveTimeout);
      strayResponse = !listener.responseHead(answer);
    }
    if (strayResponse) {
      return;
    }
    // The codec ends each interim answer with an empty last content of its own.
    if (message instanceof HttpContent content && !interimResponse && listener != null) {
      boolean end = content instanceof LastHttpContent;
      listener.responseBody(content.content(), end);
      if (end && listener != null) {
        responseComplete = true;
        finishIfDone();
      }
    }
  }

  /** Gives the connection back when both directions of its exchange are finished. */
  private void finishIfDone() {
    if (listener == null || !responseComplete) {
      return;
    }
    listener = null;
    if (requestWritten && keepAlive && channel.isActive()) {
      setReading(true);
      pool.release(this);
    } else {
      close();
    }
  }

  /** Gives up the exchange; the connection is never used again. */
  void abandon() {
    listener = null;
    close();
  }

  void close() {
    channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && channel.isWritable()) {
      listener.bodyWritable();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The decoder takes the close that follows for the end of an answer without a length.
    ExchangeListener last = listener;
    listener = null;
    close();
    if (last != null) {
      last.connectionLost("the connection to the upstream failed: " + cause.getMessage());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ExchangeListener last = listener;
    listener = null;
    if (last != null) {
      last.connectionLost("upstream closed the connection");
    }
  }
}
