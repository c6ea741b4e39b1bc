package io.foxtaildoor.process.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP server of the operator interface. */
public final class OperatorListener {
  /**
   * Maximum request body size in bytes. It is limited because a questionnaire must fit into one
   * value of the platform.
   */
  static final int MAX_BODY_BYTES = 1_000_000;

  private static final int IDLE_TIMEOUT_SECONDS = 60;
  private static final int BACKLOG = 128;

  private final EventLoopGroup group;
  private final OperatorRouter router;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger inFlight = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;
  private Channel server;

  /** Creates a server that dispatches requests with a router. */
  public OperatorListener(EventLoopGroup group, OperatorRouter router) {
    this.group = group;
    this.router = router;
  }

  /** Starts listening and returns the bound address. */
  public InetSocketAddress start(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initializePipeline(channel);
                  }
                });
    server = bootstrap.bind(address).syncUninterruptibly().channel();
    return (InetSocketAddress) server.localAddress();
  }

  private void initializePipeline(SocketChannel channel) {
    connections.add(channel);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
        // Buffers pipelined requests that are already decoded while auto-read is off.
        .addLast(new FlowControlHandler())
        .addLast(new OperatorChannelHandler(this, router));
  }

  boolean isDraining() {
    return draining;
  }

  void requestStarted() {
    inFlight.incrementAndGet();
  }

  void requestFinished() {
    if (inFlight.decrementAndGet() == 0 && draining) {
      drained.complete(null);
    }
  }

  /** Stops accepting connections. The future completes when no request is in flight. */
  public CompletableFuture<Void> beginDrain() {
    draining = true;
    server.close();
    if (inFlight.get() == 0) {
      drained.complete(null);
    }
    return drained;
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    server.close().syncUninterruptibly();
    connections.close().syncUninterruptibly();
  }
}
