package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.connection.head.HeaderList;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** A pool of keep-alive connections to one upstream, confined to one event loop. */
final class UpstreamPool {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int READ_BYTES = 32 << 10;

  /** Reads once per event, so that pausing takes effect after at most {@link #READ_BYTES}. */
  private static final RecvByteBufAllocator SINGLE_READ_ALLOCATOR =
      new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String authority;
  private final UpstreamSettings settings;
  private final LongSupplier clock;
  private final Runnable onRepeatedId;
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
  private int open;
  private int limit = 1;
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param onRepeatedId runs when a connection is closed because it carried the id of a new request
   */
  UpstreamPool(
      EventLoop loop,
      InetSocketAddress address,
      UpstreamSettings settings,
      LongSupplier clock,
      Runnable onRepeatedId) {
    this.loop = loop;
    this.address = address;
    this.authority = address.getHostString() + ":" + address.getPort();
    this.settings = settings;
    this.clock = clock;
    this.onRepeatedId = onRepeatedId;
  }

  InetSocketAddress address() {
    return address;
  }

  String authority() {
    return authority;
  }

  /** Sets the largest number of open connections. */
  void setLimit(int connections) {
    limit = connections;
  }

  /**
   * Passes an idle connection to {@code ready} immediately, or a new one once it is connected. A
   * connection that carried a request with the same id is not used: the upstream may still send a
   * second response to that request, which could not be told from the response to this one.
   *
   * @param requestId id of the request that the connection will carry
   * @param failed receives the failure if the limit is reached or the upstream cannot be connected
   *     to
   */
  void acquire(
      String requestId, Consumer<UpstreamConnection> ready, Consumer<FoxtaildoorException> failed) {
    Optional<UpstreamConnection> reused = pollIdle(requestId, clock.getAsLong());
    if (reused.isPresent()) {
      ready.accept(reused.get());
      return;
    }
    if (!idle.isEmpty()) {
      // All idle connections carried the id. One makes room, because the upstream limits the number
      // of connections.
      onRepeatedId.run();
      idle.pollLast().close();
    }
    if (open >= limit) {
      failed.accept(
          new FoxtaildoorException(
              ErrorKind.OVERLOADED, "all connections to the upstream are in use"));
      return;
    }
    connect(ready, failed);
  }

  /**
   * Removes the most recently used idle connection that has not carried the request id, and closes
   * the stale connections that it passes.
   */
  private Optional<UpstreamConnection> pollIdle(String requestId, long nowNanos) {
    Iterator<UpstreamConnection> latestFirst = idle.descendingIterator();
    while (latestFirst.hasNext()) {
      UpstreamConnection candidate = latestFirst.next();
      if (!candidate.isActive() || candidate.isStale(nowNanos, settings.idleTimeout())) {
        latestFirst.remove();
        candidate.close();
      } else if (!candidate.sentIds().mayContain(requestId)) {
        latestFirst.remove();
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
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
                        new HttpDecoderConfig()
                            .setMaxHeaderSize(MAX_HEAD_BYTES)
                            .setHeadersFactory(HeaderList.FACTORY);
                    channel
                        .pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(connection.createDecoder(config))
                        .addLast(connection);
                  }
                })
            .connect(address);
    connecting.channel().closeFuture().addListener(done -> connectionClosed(connection));
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

  private void connectionClosed(UpstreamConnection connection) {
    open--;
    idle.remove(connection);
  }

  /** Returns a connection whose exchange is finished to the pool. */
  void release(UpstreamConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.markIdle(clock.getAsLong());
    idle.addLast(connection);
  }

  /** Closes the connections that have been idle longer than the idle timeout. */
  void closeIdle(long nowNanos) {
    while (!idle.isEmpty() && idle.peekFirst().isStale(nowNanos, settings.idleTimeout())) {
      idle.pollFirst().close();
    }
  }

  /** Closes the idle connections immediately, and the others when their exchanges end. */
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
