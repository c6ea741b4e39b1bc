package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Keep-alive connections to one upstream; confined to one event loop. */
final class UpstreamPool {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int READ_BYTES = 32 << 10;

  /** One read at a time, so that a stop of reading takes effect after {@link #READ_BYTES}. */
  private static final RecvByteBufAllocator SINGLE_READ_ALLOCATOR =
      new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final UpstreamSettings settings;
  private final LongSupplier clock;
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
  private int open;
  private int limit = 1;
  private boolean closed;

  UpstreamPool(
      EventLoop loop, InetSocketAddress address, UpstreamSettings settings, LongSupplier clock) {
    this.loop = loop;
    this.address = address;
    this.settings = settings;
    this.clock = clock;
  }

  InetSocketAddress address() {
    return address;
  }

  String authority() {
    return address.getHostString() + ":" + address.getPort();
  }

  void limit(int connections) {
    limit = connections;
  }

  /** Gives an idle connection at once or a new one later. */
  void acquire(Consumer<UpstreamConnection> ready, Consumer<FoxtaildoorException> failed) {
    UpstreamConnection reused = idle.pollLast();
    long now = clock.getAsLong();
    while (reused != null) {
      if (reused.isActive() && !reused.isStale(now, settings.idleTimeout())) {
        ready.accept(reused);
        return;
      }
      reused.close();
      reused = idle.pollLast();
    }
    if (open >= limit) {
      failed.accept(
          new FoxtaildoorException(ErrorKind.OVERLOADED, "all connections to it are in use"));
      return;
    }
    connect(ready, failed);
  }

  private void connect(Consumer<UpstreamConnection> ready, Consumer<FoxtaildoorException> failed) {
    open++;
    UpstreamConnection connection = new UpstreamConnection(this);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, SINGLE_READ_ALLOCATOR)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                Math.toIntExact(settings.connectTimeout().toMillis()))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    HttpDecoderConfig config =
                        new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES);
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec(config, false, false))
                        .addLast(connection);
                  }
                })
            .connect(address);
    connecting.channel().closeFuture().addListener(done -> closed(connection));
    connecting.addListener(
        (ChannelFuture done) -> {
          if (done.isSuccess()) {
            ready.accept(connection);
          } else {
            failed.accept(
                new FoxtaildoorException(
                    ErrorKind.UPSTREAM_UNREACHABLE,
                    "cannot connect to the upstream: " + done.cause().getMessage(),
                    done.cause()));
          }
        });
  }

  private void closed(UpstreamConnection connection) {
    open--;
    idle.remove(connection);
  }

  /** Takes back a connection whose exchange is finished. */
  void release(UpstreamConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.markIdle(clock.getAsLong());
    idle.addLast(connection);
  }

  /** Closes the connections that were not used for a while. */
  void closeIdle(long nowNanos) {
    while (!idle.isEmpty() && idle.peekFirst().isStale(nowNanos, settings.idleTimeout())) {
      idle.pollFirst().close();
    }
  }

  /** Closes the idle connections now and the others after their exchanges. */
  void close() {
    closed = true;
    while (!idle.isEmpty()) {
      idle.pollFirst().close();
    }
  }

  int open() {
    return open;
  }
}
