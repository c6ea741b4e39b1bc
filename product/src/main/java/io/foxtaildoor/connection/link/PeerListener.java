package io.foxtaildoor.connection.link;

import io.foxtaildoor.connection.link.AbstractLink.LinkContext;
import io.foxtaildoor.protocol.Frame;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/** Accepts request links and control connections from other nodes on the TCP peer port. */
public final class PeerListener implements AutoCloseable {
  private static final int BACKLOG = 1024;

  private final EventLoopGroup group;
  private final LinkContext shared;
  private final StreamAcceptor acceptor;
  private final Map<Frame.BodyCase, ControlHandler> controlHandlers;
  private final Set<ServerLink> links = ConcurrentHashMap.newKeySet();
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private final AtomicInteger openStreamCount = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean leaving;
  private volatile Channel serverChannel;

  /**
   * Creates a listener that is not bound yet.
   *
   * @param acceptor accepts request streams
   * @param controlHandlers handlers of control frames, by the kind of the request
   * @param clock monotonic clock in nanoseconds
   */
  public PeerListener(
      EventLoopGroup group,
      LinkSettings settings,
      LinkIdentity identity,
      LinkMetrics metrics,
      LongSupplier clock,
      StreamAcceptor acceptor,
      Map<Frame.BodyCase, ControlHandler> controlHandlers) {
    this.group = group;
    this.shared = new LinkContext(settings, identity, metrics, clock);
    this.acceptor = acceptor;
    this.controlHandlers = Map.copyOf(controlHandlers);
  }

  /** Binds the listener; the returned future completes with the bound address. */
  public CompletableFuture<InetSocketAddress> start(InetSocketAddress address) {
    CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new Initializer())
        .bind(address)
        .addListener((ChannelFuture done) -> completeBinding(done, bound));
    return bound;
  }

  private void completeBinding(ChannelFuture done, CompletableFuture<InetSocketAddress> bound) {
    if (done.isSuccess()) {
      serverChannel = done.channel();
      bound.complete((InetSocketAddress) done.channel().localAddress());
    } else {
      bound.completeExceptionally(done.cause());
    }
  }

  /**
   * Tells all connected nodes to open no new streams, and refuses new streams with {@code LEAVING}.
   * Control frames are still handled until the listener is closed.
   *
   * @return future that completes when all accepted streams have ended
   */
  public CompletableFuture<Void> beginDrain() {
    leaving = true;
    for (ServerLink link : links) {
      link.context().executor().execute(link::sendGoAway);
    }
    completeWhenDrained();
    return drained;
  }

  private void completeWhenDrained() {
    if (leaving && openStreamCount.get() == 0) {
      drained.complete(null);
    }
  }

  /** Returns the number of accepted streams that have not ended. */
  public int openStreams() {
    return openStreamCount.get();
  }

  /** Stops listening and closes all connections; open streams are cancelled. */
  @Override
  public void close() {
    Channel server = serverChannel;
    if (server != null) {
      server.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
    for (Channel channel : channels) {
      channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (channels.size() >= shared.settings().maxAcceptedConnections()) {
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        return;
      }
      channels.add(channel);
      channel.closeFuture().addListener(closed -> channels.remove(channel));
      FrameCodec.install(channel.pipeline());
      channel.pipeline().addLast(new ServerLink(shared, acceptor, controlHandlers, new Links()));
    }
  }

  private final class Links implements ServerLink.Owner {
    @Override
    public boolean linkOpened(ServerLink link) {
      links.add(link);
      shared.metrics().acceptedLinks().set(links.size());
      return leaving;
    }

    @Override
    public void streamOpened() {
      openStreamCount.incrementAndGet();
    }

    @Override
    public void streamClosed() {
      openStreamCount.decrementAndGet();
      completeWhenDrained();
    }

    @Override
    public void linkClosed(ServerLink link) {
      links.remove(link);
      shared.metrics().acceptedLinks().set(links.size());
    }
  }
}
