package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.routing.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** HTTP/1.1 listener for callers. */
public final class CallerListener implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  /**
   * Connections accepted before other events of the loop are handled. With few of them a surge of
   * new connections waits unaccepted until its callers have given up.
   */
  private static final int ACCEPTED_AT_ONCE = 256;

  /** Flushes that are joined while other events of the loop are handled. */
  private static final int JOINED_FLUSHES = 64;

  /** Part of the connections from which on the listener sheds those that are not in use. */
  private static final double CROWDED_SHARE = 0.5;

  /** Idle time of a connection of a crowded listener; callers come back sooner or not soon. */
  private static final Duration CROWDED_IDLE = Duration.ofSeconds(1);

  private static final System.Logger LOGGER = System.getLogger(CallerListener.class.getName());

  private final CallerSettings settings;
  private final CallerDependencies dependencies;
  private final EventLoopGroup group;
  private final ReplayMemory replayMemory;
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final CompletableFuture<Integer> drained = new CompletableFuture<>();
  private volatile boolean draining;
  private Channel server;

  /** Creates a listener that is not started yet; the group stays owned by the caller. */
  public CallerListener(
      CallerSettings settings, CallerDependencies dependencies, EventLoopGroup group) {
    this.settings = settings;
    this.dependencies = dependencies;
    this.group = group;
    this.replayMemory = new ReplayMemory(settings.totalReplayBytes());
  }

  /**
   * Binds the address; must not be called on an event loop.
   *
   * @return the bound address
   */
  public InetSocketAddress start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initialize(channel);
                  }
                });
    server = bootstrap.bind(settings.address()).syncUninterruptibly().channel();
    return (InetSocketAddress) server.localAddress();
  }

  private void initialize(SocketChannel channel) {
    if (draining || connections.size() >= settings.maxConnections()) {
      dependencies.metrics().refusedConnection();
      channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
      return;
    }
    CallerResponseEncoder encoder = new CallerResponseEncoder();
    RequestTimeoutHandler timeouts =
        new RequestTimeoutHandler(
            () -> limits().headTimeout().orElse(settings.headTimeout()), this::idleTimeout);
    CallerConnection connection =
        new CallerConnection(
            settings, dependencies, replayMemory, encoder, timeouts, this::isCrowded);
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(JOINED_FLUSHES, true))
        .addLast(timeouts)
        .addLast(
            new StrictRequestDecoder(
                settings.maxRequestLineBytes(),
                limits().maxHeaderBytes().orElse(settings.maxHeaderBytes())))
        .addLast(encoder)
        .addLast(connection);
    connections.add(channel);
    channel.closeFuture().addListener(closed -> completeWhenEmpty());
    if (draining) {
      connection.beginDrain();
    }
  }

  /**
   * Whether many connections are open. Callers that are refused come back on new ones and keep the
   * former, which would use up the descriptors of the process within seconds of a surge.
   */
  private boolean isCrowded() {
    return connections.size() >= settings.maxConnections() * CROWDED_SHARE;
  }

  private Duration idleTimeout() {
    Duration usual = limits().idleTimeout().orElse(settings.idleTimeout());
    return isCrowded() && CROWDED_IDLE.compareTo(usual) < 0 ? CROWDED_IDLE : usual;
  }

  private CallerLimits limits() {
    return dependencies.configuration().get().callerLimits();
  }

  /**
   * Begins a graceful stop: refuses new connections, answers what is in flight and announces the
   * close with each answer.
   *
   * @return completes when no connection is left, or at the bound of the settings, with the number
   *     of connections that were closed at the bound with a request in progress
   */
  public CompletableFuture<Integer> beginDrain() {
    draining = true;
    if (server != null) {
      server.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      if (connection != null) {
        channel.eventLoop().execute(connection::beginDrain);
      }
    }
    ScheduledFuture<?> bound =
        group
            .next()
            .schedule(this::endDrain, settings.drainBound().toNanos(), TimeUnit.NANOSECONDS);
    completeWhenEmpty();
    return drained.whenComplete((cut, failure) -> bound.cancel(false));
  }

  private void completeWhenEmpty() {
    if (draining && connections.isEmpty()) {
      drained.complete(0);
    }
  }

  private void endDrain() {
    int cut = 0;
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      cut += connection != null && connection.isAnswering() ? 1 : 0;
    }
    int requests = cut;
    dependencies
        .invariants()
        .check(
            Invariant.STOP_CUTS_NOTHING,
            requests == 0,
            () -> requests + " connections with requests were closed at the drain bound");
    if (drained.complete(requests)) {
      connections
          .close()
          .addListener(closed -> LOGGER.log(Level.WARNING, "the drain reached its bound"));
    }
  }

  /** Closes the listener and every connection at once. */
  @Override
  public void close() {
    draining = true;
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    connections.close().syncUninterruptibly();
  }

  /**
   * Forgets what is kept about services that a new version no longer has; to be registered as a
   * listener of the configuration holder.
   */
  public void configurationApplied(ConfigurationSnapshot configuration) {
    Predicate<ServiceId> known = id -> configuration.routes().service(id).isPresent();
    dependencies.selector().retainServices(known);
    dependencies.retryBudgets().retainServices(known);
  }

  /** Bytes of request bodies that are held for retries at present. */
  public long heldBytes() {
    return replayMemory.used();
  }

  /** Number of open connections. */
  public int connections() {
    return connections.size();
  }
}
