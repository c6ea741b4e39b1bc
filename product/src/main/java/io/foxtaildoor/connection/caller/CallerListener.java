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
   * Largest number of connections that are accepted before the event loop handles other events.
   * With a small number, a burst of new connections stays in the accept queue until its callers
   * have timed out.
   */
  private static final int MAX_ACCEPTS_PER_READ = 256;

  /**
   * Largest number of flushes that are combined into one while the event loop handles other events.
   */
  private static final int MAX_CONSOLIDATED_FLUSHES = 64;

  /**
   * Fraction of the connection limit from which on the listener closes connections that are not in
   * use.
   */
  private static final double MANY_CONNECTIONS_RATIO = 0.5;

  /**
   * Idle timeout while many connections are open. Callers either reuse a connection within this
   * time or not for a long while.
   */
  private static final Duration MANY_CONNECTIONS_IDLE_TIMEOUT = Duration.ofSeconds(1);

  private static final System.Logger LOGGER = System.getLogger(CallerListener.class.getName());

  private final CallerSettings settings;
  private final CallerDependencies dependencies;
  private final EventLoopGroup group;
  private final ReplayBufferBudget replayBudget;
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final CompletableFuture<Integer> drained = new CompletableFuture<>();
  private volatile boolean draining;
  private Channel server;

  /**
   * Creates a listener that is not started yet. The calling code keeps ownership of the event loop
   * group.
   */
  public CallerListener(
      CallerSettings settings, CallerDependencies dependencies, EventLoopGroup group) {
    this.settings = settings;
    this.dependencies = dependencies;
    this.group = group;
    this.replayBudget = new ReplayBufferBudget(settings.maxTotalReplayBytes());
  }

  /**
   * Binds the address of the settings. Must not be called on an event loop.
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
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initializeChannel(channel);
                  }
                });
    server = bootstrap.bind(settings.address()).syncUninterruptibly().channel();
    return (InetSocketAddress) server.localAddress();
  }

  private void initializeChannel(SocketChannel channel) {
    if (draining || connections.size() >= settings.maxConnections()) {
      dependencies.metrics().connectionRefused();
      channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
      return;
    }
    CallerResponseEncoder encoder = new CallerResponseEncoder();
    RequestTimeoutHandler timeouts =
        new RequestTimeoutHandler(
            () -> limits().headTimeout().orElse(settings.headTimeout()), this::idleTimeout);
    CallerConnection connection =
        new CallerConnection(
            settings, dependencies, replayBudget, encoder, timeouts, this::hasManyConnections);
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
        .addLast(timeouts)
        .addLast(
            new StrictRequestDecoder(
                settings.maxRequestLineBytes(),
                limits().maxHeaderBytes().orElse(settings.maxHeaderBytes())))
        .addLast(encoder)
        .addLast(connection);
    connections.add(channel);
    channel.closeFuture().addListener(closed -> completeDrainIfNoConnections());
    if (draining) {
      connection.beginDrain();
    }
  }

  /**
   * Returns whether many connections are open. Refused callers retry on new connections and keep
   * the old ones open, which would use up the file descriptors of the process within seconds of a
   * load peak.
   */
  private boolean hasManyConnections() {
    return connections.size() >= settings.maxConnections() * MANY_CONNECTIONS_RATIO;
  }

  private Duration idleTimeout() {
    Duration normalTimeout = limits().idleTimeout().orElse(settings.idleTimeout());
    return hasManyConnections() && MANY_CONNECTIONS_IDLE_TIMEOUT.compareTo(normalTimeout) < 0
        ? MANY_CONNECTIONS_IDLE_TIMEOUT
        : normalTimeout;
  }

  private CallerLimits limits() {
    return dependencies.configuration().get().callerLimits();
  }

  /**
   * Starts a graceful shutdown: refuses new connections, completes the requests in flight and
   * announces the close of the connection in each response.
   *
   * @param timeout time after which the remaining connections are closed
   * @return a future that completes when no connection is left or at the timeout, with the number
   *     of connections that were closed at the timeout while a request was in progress
   */
  public CompletableFuture<Integer> beginDrain(Duration timeout) {
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
    ScheduledFuture<?> timeoutTask =
        group.next().schedule(this::onDrainTimeout, timeout.toNanos(), TimeUnit.NANOSECONDS);
    completeDrainIfNoConnections();
    return drained.whenComplete((interrupted, failure) -> timeoutTask.cancel(false));
  }

  private void completeDrainIfNoConnections() {
    if (draining && connections.isEmpty()) {
      drained.complete(0);
    }
  }

  private void onDrainTimeout() {
    int interrupted = 0;
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      interrupted += connection != null && connection.hasRequestInProgress() ? 1 : 0;
    }
    int requests = interrupted;
    dependencies
        .invariants()
        .check(
            Invariant.STOP_CUTS_NOTHING,
            requests == 0,
            () ->
                requests
                    + " connections with a request in progress were closed at the drain timeout");
    if (drained.complete(requests)) {
      connections
          .close()
          .addListener(
              closed ->
                  LOGGER.log(
                      Level.WARNING,
                      "the drain timeout expired; closed the remaining connections"));
    }
  }

  /** Closes the listener and all connections immediately. */
  @Override
  public void close() {
    draining = true;
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    connections.close().syncUninterruptibly();
  }

  /**
   * Removes the state of services that a new configuration version no longer contains. To be
   * registered as a listener of the configuration holder.
   */
  public void configurationApplied(ConfigurationSnapshot configuration) {
    Predicate<ServiceId> exists = id -> configuration.routes().service(id).isPresent();
    dependencies.selector().retainServices(exists);
    dependencies.retryBudgets().retainServices(exists);
  }

  /** Returns the number of bytes of request bodies that are currently buffered for retries. */
  public long bufferedReplayBytes() {
    return replayBudget.usedBytes();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }
}
