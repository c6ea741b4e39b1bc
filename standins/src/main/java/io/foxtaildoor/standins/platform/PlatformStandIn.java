package io.foxtaildoor.standins.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.foxtaildoor.standins.StandInProcess;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for the key-value service of the platform over HTTP/JSON, with all state in memory.
 *
 * <p>{@code POST /control} injects faults: {@code down} ({@code none}, {@code refused}, {@code
 * unanswered}), {@code slowMillis}, {@code loseAnswers} (number of writes, -1 for always), {@code
 * readsPerSecond} and {@code writesPerSecond} (0 for no limit), and the actions {@code
 * expireLeases}, {@code dropWatches} and {@code resetCounters}. {@code GET /control} reports them
 * and the number of calls by kind. While connections are refused, control is reached only through
 * the control port.
 */
@SuppressWarnings(
    "FutureReturnValueIgnored") // The event loop logs what a close or shutdown throws.
public final class PlatformStandIn implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Twice the value limit, because Base64 makes a value of 1 MB longer by a third. */
  private static final int MAX_REQUEST_BYTES = 2 * PlatformStore.MAX_VALUE_BYTES;

  private static final long CONNECTION_DRAIN_MILLIS = 100;
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  /** Any delay greater than zero makes the event loop poll its selector before it runs a task. */
  private static final long POLL_DELAY_MILLIS = 1;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup connections = new DefaultChannelGroup(group.next());
  private final PlatformHandler handler = new PlatformHandler(this::switchListener);
  private final InetSocketAddress address;
  private final Channel controlListener;
  private Channel listener;

  private PlatformStandIn(InetSocketAddress requestedAddress, InetSocketAddress control) {
    try {
      listener = bind(requestedAddress, connections).syncUninterruptibly().getNow();
      controlListener =
          control == null
              ? null
              : bind(control, new DefaultChannelGroup(group.next())).syncUninterruptibly().getNow();
    } catch (RuntimeException e) {
      group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      throw e;
    }
    address = (InetSocketAddress) listener.localAddress();
  }

  /** Starts a stand-in whose faults are set through the same port or with {@link #control}. */
  public static PlatformStandIn start(InetSocketAddress address) {
    return new PlatformStandIn(address, null);
  }

  /** Starts a stand-in with a control port that stays reachable while connections are refused. */
  public static PlatformStandIn start(InetSocketAddress address, InetSocketAddress control) {
    return new PlatformStandIn(address, control);
  }

  /** Returns the address on which the stand-in listens, with its actual port. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the port of the control listener; 0 when there is none. */
  public int controlPort() {
    return controlListener == null
        ? 0
        : ((InetSocketAddress) controlListener.localAddress()).getPort();
  }

  /** Applies a control document like {@code POST /control} and returns the resulting report. */
  public JsonNode control(String document) {
    CompletableFuture<JsonNode> report = new CompletableFuture<>();
    JsonNode faults = parse(document);
    group.execute(() -> handler.apply(faults, () -> report.complete(handler.report())));
    return report.join();
  }

  /** Returns the number of calls of a kind since the start or the last reset of the counters. */
  public long calls(String kind) {
    return control("{}").path("calls").path(kind).asLong();
  }

  /** Stops listening, answers pending watches and waits for answers that are being written. */
  @Override
  public void close() {
    // Netty closes all connections once the group shuts down, so the answers are written first.
    group
        .submit(
            () -> {
              listener.close();
              handler.answerAllWatches();
            })
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    connections.newCloseFuture().awaitUninterruptibly(CONNECTION_DRAIN_MILLIS);
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(2 * STOP_TIMEOUT_MILLIS);
  }

  private static JsonNode parse(String document) {
    try {
      return JSON.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed control document", e);
    }
  }

  private Future<Channel> bind(InetSocketAddress requestedAddress, ChannelGroup channels) {
    ServerBootstrap bootstrap = new ServerBootstrap().group(group);
    bootstrap.channel(NioServerSocketChannel.class);
    bootstrap.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channels.add(channel);
            channel.pipeline().addLast(new HttpServerCodec());
            channel.pipeline().addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES));
            channel.pipeline().addLast(handler);
          }
        });
    Promise<Channel> bound = group.next().newPromise();
    ChannelFuture future = bootstrap.bind(requestedAddress);
    future.addListener(
        done -> {
          if (done.isSuccess()) {
            bound.setSuccess(future.channel());
          } else {
            bound.setFailure(done.cause());
          }
        });
    return bound;
  }

  private void switchListener(
      Faults.OutageMode previous, Faults.OutageMode current, Runnable continuation) {
    if (previous == current) {
      continuation.run();
    } else if (current == Faults.OutageMode.REFUSED) {
      listener
          .close()
          .addListener(
              closed -> {
                connections.close();
                runAfterNextPoll(continuation);
              });
    } else if (previous == Faults.OutageMode.REFUSED) {
      bind(address, connections)
          .addListener(
              (Future<Channel> bound) -> {
                listener = bound.getNow();
                continuation.run();
              });
    } else {
      continuation.run();
    }
  }

  /**
   * Runs an action once the event loop has polled its selector. A closed listener accepts
   * connections until then and resets them later.
   */
  private void runAfterNextPoll(Runnable action) {
    var unused = group.next().schedule(action, POLL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Command-line options of the platform stand-in. */
  private static final class Options {
    @Option(name = "--address", usage = "address to listen on")
    private String address = "127.0.0.1";

    @Option(name = "--port", usage = "port to listen on; 0 chooses a free one")
    private int port;

    @Option(
        name = "--control-port",
        usage = "separate port for /control; 0 chooses a free one, -1 opens none")
    private int controlPort = -1;

    @Option(
        name = "--port-file",
        usage = "file to which the port and, on a second line, the control port are written")
    private Path portFile;

    private void writePorts(PlatformStandIn standIn) throws IOException {
      String ports = standIn.address().getPort() + "\n";
      if (standIn.controlPort() != 0) {
        ports += standIn.controlPort() + "\n";
      }
      StandInProcess.writePortFile(portFile, ports);
    }
  }

  /** Starts a stand-in, which runs until SIGTERM. */
  public static void main(String[] args) throws IOException {
    Options options = StandInProcess.parse(new Options(), args);
    InetSocketAddress control =
        options.controlPort < 0
            ? null
            : new InetSocketAddress(options.address, options.controlPort);
    PlatformStandIn standIn = start(new InetSocketAddress(options.address, options.port), control);
    StandInProcess.stopOnSignal(standIn::close);
    options.writePorts(standIn);
  }
}
