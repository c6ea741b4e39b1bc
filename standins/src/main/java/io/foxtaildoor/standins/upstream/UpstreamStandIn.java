package io.foxtaildoor.standins.upstream;

import io.foxtaildoor.standins.StandInProcess;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Stand-in of an upstream instance: an HTTP server that announces itself to a node. */
public final class UpstreamStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long STOP_TIMEOUT_MILLIS = 10_000;
  private static final long STOP_POLL_MILLIS = 10;
  private static final int STOP_IDLE_POLLS = 20;

  private final StandInOptions options;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final SlotServer slotServer;
  private Announcer announcer;
  private Channel channel;

  UpstreamStandIn(StandInOptions options) {
    this.options = options;
    this.slotServer = new SlotServer(options, loop);
  }

  /** Runs the stand-in until SIGTERM, which stops it gracefully. */
  public static void main(String[] args) throws IOException {
    StandInOptions options = StandInProcess.parse(new StandInOptions(), args);
    UpstreamStandIn standIn = new UpstreamStandIn(options);
    InetSocketAddress address = standIn.start();
    StandInProcess.stopOnSignal(standIn::close);
    System.out.println("listening on " + address.getHostString() + ":" + address.getPort());
  }

  /** Binds the address, writes the port file and starts to announce the stand-in. */
  InetSocketAddress start() throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connection) {
                    connection
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new UpstreamHandler(slotServer, UpstreamStandIn.this::drain));
                  }
                });
    channel = bootstrap.bind(options.address, options.port).syncUninterruptibly().channel();
    InetSocketAddress bound = (InetSocketAddress) channel.localAddress();
    StandInProcess.writePortFile(options.portFile, Integer.toString(bound.getPort()));
    if (options.announce != null) {
      String address = options.address + ":" + bound.getPort();
      announcer = new Announcer(options.announce, options.service, address, options.slots);
      announcer.start();
    }
    return bound;
  }

  private void drain() {
    slotServer.drain();
    if (announcer != null) {
      new Thread(announcer::withdraw, "withdraw").start();
    }
  }

  /** Withdraws the announcement, finishes the requests in flight and stops the server. */
  @Override
  public void close() {
    if (announcer != null) {
      announcer.withdraw();
    }
    awaitIdle();
    loop.execute(slotServer::drain);
    channel.close().syncUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Waits until no request was in flight for several polls in a row, so that requests are still
   * served which the node dispatched before it processed the withdrawal.
   */
  private void awaitIdle() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MILLIS);
    int idlePolls = 0;
    while (idlePolls < STOP_IDLE_POLLS && System.nanoTime() - deadlineNanos < 0) {
      idlePolls = inFlight() == 0 ? idlePolls + 1 : 0;
      try {
        Thread.sleep(STOP_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private int inFlight() {
    return CompletableFuture.supplyAsync(slotServer::inFlight, loop).join();
  }
}
