package io.foxtaildoor.process.platform;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.FixedChannelPool;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * One endpoint of the platform with its pool of keep-alive connections. After a call without a
 * response the pooled connections are replaced, because a fault that silences one connection
 * usually silences all that are open.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The pool reports failures at the next acquire.
final class Endpoint implements AutoCloseable {
  /** Largest response. Values are sent as Base64, which makes a value of 1 MB a third longer. */
  private static final int MAX_RESPONSE_BYTES = 2 * PlatformClient.MAX_VALUE_BYTES;

  private static final int MAX_PENDING_ACQUIRES = 256;

  private static final AttributeKey<Long> OPENED_NANOS =
      AttributeKey.valueOf(Endpoint.class, "openedNanos");

  /** Time limit for closing the pool, needed only if the event loop hangs during shutdown. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  private final URI uri;
  private final FixedChannelPool pool;
  private final LongSupplier clock;

  /** Connections that were opened before this monotonic time are not used again. */
  private volatile long usableSinceNanos;

  Endpoint(URI uri, PlatformSettings settings, EventLoopGroup group, LongSupplier clock) {
    this.uri = uri;
    this.clock = clock;
    usableSinceNanos = clock.getAsLong();
    int connectMillis = (int) settings.connectTimeout().toMillis();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
            .remoteAddress(InetSocketAddress.createUnresolved(uri.getHost(), uri.getPort()));
    pool =
        new FixedChannelPool(
            bootstrap,
            new ConnectionInitializer(),
            this::checkUsable,
            FixedChannelPool.AcquireTimeoutAction.FAIL,
            connectMillis,
            settings.connectionsPerEndpoint(),
            MAX_PENDING_ACQUIRES);
  }

  private Future<Boolean> checkUsable(Channel channel) {
    boolean isRecent = channel.attr(OPENED_NANOS).get() - usableSinceNanos >= 0;
    return channel.eventLoop().newSucceededFuture(channel.isActive() && isRecent);
  }

  /** Sends a request and waits for its response. The future never completes exceptionally. */
  CompletableFuture<ExchangeOutcome> call(PlatformRequest request, long deadlineNanos) {
    CompletableFuture<ExchangeOutcome> result = new CompletableFuture<>();
    pool.acquire()
        .addListener(
            (Future<Channel> acquired) -> {
              if (acquired.isSuccess()) {
                Channel channel = acquired.getNow();
                channel.eventLoop().execute(() -> send(channel, request, deadlineNanos, result));
              } else {
                result.complete(
                    new ExchangeOutcome.NotSent(uri + ": " + acquired.cause().getMessage()));
              }
            });
    return result;
  }

  private void send(
      Channel channel,
      PlatformRequest request,
      long deadlineNanos,
      CompletableFuture<ExchangeOutcome> result) {
    long remaining = deadlineNanos - clock.getAsLong();
    if (!channel.isActive() || remaining <= 0) {
      pool.release(channel);
      result.complete(
          new ExchangeOutcome.NotSent(uri + ": no usable connection before the deadline"));
      return;
    }
    channel
        .pipeline()
        .get(ExchangeHandler.class)
        .send(
            toHttpRequest(request),
            remaining,
            outcome -> {
              if (outcome instanceof ExchangeOutcome.Failed failed && failed.timedOut()) {
                usableSinceNanos = clock.getAsLong();
              }
              pool.release(channel);
              result.complete(outcome);
            });
  }

  private FullHttpRequest toHttpRequest(PlatformRequest request) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(HttpHeaderNames.HOST, uri.getHost() + ":" + uri.getPort());
    if (request.body().length > 0) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    HttpUtil.setContentLength(message, request.body().length);
    return message;
  }

  /**
   * Closes the connections and waits until they are closed. If the event loop terminated first, the
   * pool would forever block a thread that all of Netty shares. Must not be called on an event
   * loop.
   */
  @Override
  public void close() {
    pool.closeAsync().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }

  private final class ConnectionInitializer extends AbstractChannelPoolHandler {
    @Override
    public void channelCreated(Channel channel) {
      channel.attr(OPENED_NANOS).set(clock.getAsLong());
      ExchangeHandler handler = new ExchangeHandler();
      channel.pipeline().addLast(new HttpRequestEncoder());
      channel.pipeline().addLast(handler.createDecoder());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES));
      channel.pipeline().addLast(handler);
    }
  }
}
