package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.link.ControlCaller;
import io.foxtaildoor.connection.link.ControlHandler;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Runs the SWIM membership protocol of the fleet over UDP. The protocol runs on one event loop. All
 * methods may be called by any thread, and none blocks except {@link #start()}.
 */
public final class Membership implements FleetView, ControlHandler, AutoCloseable {
  private static final Logger LOG = System.getLogger(Membership.class.getName());

  /** Large enough to receive the replies to a status query of 12,000 nodes without loss. */
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final NodeRecord initialRecord;
  private final EventLoop loop;
  private final LongSupplier nanoClock;
  private final ControlCaller caller;
  private final MembershipCallbacks callbacks;
  private final MembershipCounters counters = new MembershipCounters();
  private final DatagramDecoder decoder;
  private final SwimCore core;
  private final List<Consumer<NodeRecord>> listeners = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> joined = new CompletableFuture<>();
  private final CompletableFuture<Void> leavingPushed = new CompletableFuture<>();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private final Map<Long, CompletableFuture<List<StatusAnswer>>> pendingQueries = new HashMap<>();
  private volatile Channel channel;
  private ScheduledFuture<?> tickTask;

  /**
   * Creates a membership that is not started yet.
   *
   * @param self record of the local node: ALIVE, with the address of its peer listener and an
   *     incarnation above that of previous processes at this address, such as the start time in
   *     seconds since the epoch
   * @param group provides the event loop that runs the protocol
   * @param nanoClock monotonic time in nanoseconds
   */
  public Membership(
      MembershipSettings settings,
      NodeRecord self,
      EventLoopGroup group,
      LongSupplier nanoClock,
      RandomGenerator random,
      ControlCaller caller,
      MembershipCallbacks callbacks) {
    this.initialRecord = self;
    this.loop = group.next();
    this.nanoClock = nanoClock;
    this.caller = caller;
    this.callbacks = callbacks;
    this.decoder = new DatagramDecoder(settings.cluster(), self.id(), counters);
    this.core = new SwimCore(settings, self, callbacks, counters, random);
  }

  /**
   * Sets the contact addresses, through which the node joins and rediscovers nodes after a
   * partition.
   */
  public void setContacts(List<InetSocketAddress> contacts) {
    List<InetSocketAddress> copy = List.copyOf(contacts);
    runOnEventLoop(() -> core.setContacts(copy));
  }

  /**
   * Binds the UDP socket and starts to join the cluster.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INTERNAL} when the address cannot be bound
   */
  public void start() {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .handler(new Receiver());
    ChannelFuture bound = bootstrap.bind(initialRecord.address()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new FoxtaildoorException(
          ErrorKind.INTERNAL, "cannot bind UDP " + initialRecord.address(), bound.cause());
    }
    channel = bound.channel();
    long tick = SwimCore.TICK.toNanos();
    runOnEventLoop(
        () -> {
          core.start(nanoClock.getAsLong());
          tickTask =
              loop.scheduleWithFixedDelay(
                  () -> runGuarded(this::tick), tick, tick, TimeUnit.NANOSECONDS);
        });
  }

  /**
   * Returns a future that completes when the first state exchange has finished, or when the node's
   * own address is the only contact address.
   */
  public CompletableFuture<Void> joined() {
    return joined.copy();
  }

  @Override
  public NodeRecord self() {
    return core.self();
  }

  @Override
  public List<NodeRecord> nodes() {
    return List.copyOf(core.table().records());
  }

  @Override
  public Optional<NodeRecord> node(NodeId id) {
    return Optional.ofNullable(core.table().record(id));
  }

  @Override
  public List<NodeRecord> upstreams(ServiceId service) {
    return core.index().find(service);
  }

  @Override
  public void addListener(Consumer<NodeRecord> listener) {
    listeners.add(listener);
  }

  /** Returns the counters of datagrams, bytes and errors. */
  public MembershipCounters counters() {
    return counters;
  }

  /**
   * Announces the local upstream, or renews its announcement, which expires if it is not renewed.
   *
   * @param slots number of concurrent requests that the upstream serves
   * @param age time since the start of the upstream instance
   */
  public void announceUpstream(ServiceId service, int slots, Duration age) {
    if (slots <= 0) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "slots must be positive");
    }
    runOnEventLoop(
        () -> {
          long now = nanoClock.getAsLong();
          core.announce(service, slots, now - age.toNanos(), now);
        });
  }

  /** Withdraws the announcement of the local upstream. */
  public void withdrawUpstream() {
    runOnEventLoop(() -> core.withdraw(nanoClock.getAsLong()));
  }

  /**
   * Announces that the node is leaving; the returned future completes when this has been pushed to
   * other nodes twice.
   */
  public CompletableFuture<Void> leave() {
    runOnEventLoop(() -> core.leave(nanoClock.getAsLong()));
    return leavingPushed.copy();
  }

  /** Sends a notice of a configuration version to {@code fanout} random nodes that accept work. */
  public void sendNotices(VersionStamp stamp, int fanout) {
    runOnEventLoop(() -> core.sendNotices(stamp, fanout, nanoClock.getAsLong()));
  }

  /**
   * Asks every live node for its status.
   *
   * @param duration time until the query ends: requests are spread over a part of it, and nodes
   *     that have not replied by its end are reported without a status
   */
  public CompletableFuture<List<StatusAnswer>> queryStatus(Duration duration) {
    CompletableFuture<List<StatusAnswer>> result = new CompletableFuture<>();
    runOnEventLoop(
        () ->
            pendingQueries.put(
                core.queryStatus(duration.toNanos(), nanoClock.getAsLong()), result));
    return result;
  }

  /** Answers {@code StateDigest} and {@code StateExchange} frames. */
  @Override
  public Frame handle(Frame request) {
    Frame reply = core.answer(request, nanoClock.getAsLong());
    if (request.hasStateExchange() && reply.hasStateExchange()) {
      runOnEventLoop(() -> core.mergeExchange(request.getStateExchange(), nanoClock.getAsLong()));
    }
    return reply;
  }

  /** Announces that the node has left and closes the socket; does not wait for either. */
  @Override
  public void close() {
    runOnEventLoop(this::closeOnEventLoop);
  }

  /** Returns a future that completes when the socket is closed. */
  public CompletableFuture<Void> closed() {
    return closed.copy();
  }

  private void closeOnEventLoop() {
    if (tickTask == null) {
      closed.complete(null);
      return;
    }
    if (tickTask.isCancelled()) {
      return;
    }
    core.markLeft(nanoClock.getAsLong());
    performOutputs(core.drain());
    tickTask.cancel(false);
    FoxtaildoorException closedError =
        new FoxtaildoorException(ErrorKind.LEAVING, "membership is closed");
    pendingQueries.values().forEach(query -> query.completeExceptionally(closedError));
    ChannelFuture unused = channel.close().addListener(done -> closed.complete(null));
  }

  private void tick() {
    core.tick(nanoClock.getAsLong());
    performOutputs(core.drain());
  }

  /** Runs an action of the core on the event loop and then performs the outputs of the core. */
  private void runOnEventLoop(Runnable action) {
    loop.execute(
        () -> {
          action.run();
          performOutputs(core.drain());
        });
  }

  private void performOutputs(List<SwimOutput> outputs) {
    boolean sent = false;
    for (SwimOutput output : outputs) {
      if (output instanceof SwimOutput.SendDatagram send) {
        send(send);
        sent = true;
      } else if (output instanceof SwimOutput.CallNode call) {
        call(call);
      } else if (output instanceof SwimOutput.RecordChanged changed) {
        listeners.forEach(listener -> runGuarded(() -> listener.accept(changed.record())));
      } else if (output instanceof SwimOutput.VersionReceived received) {
        runGuarded(() -> callbacks.versionListener().accept(received.from(), received.stamp()));
      } else if (output instanceof SwimOutput.Joined) {
        joined.complete(null);
      } else if (output instanceof SwimOutput.LeavingPushed) {
        leavingPushed.complete(null);
      } else if (output instanceof SwimOutput.StatusQueryFinished finished) {
        pendingQueries.remove(finished.query()).complete(finished.answers());
      }
    }
    if (sent && channel != null) {
      channel.flush();
    }
  }

  private void send(SwimOutput.SendDatagram send) {
    if (channel == null) {
      return;
    }
    byte[] bytes = send.datagram().toByteArray();
    counters.increment(Counter.SENT_DATAGRAMS);
    counters.add(Counter.SENT_BYTES, bytes.length);
    DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(bytes), send.to());
    ChannelFuture unused =
        channel
            .write(packet)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    counters.increment(Counter.SEND_FAILURES);
                  }
                });
  }

  private void call(SwimOutput.CallNode call) {
    CompletableFuture<Frame> unused =
        caller
            .call(call.to(), call.request())
            .whenComplete(
                (reply, error) ->
                    runOnEventLoop(
                        () ->
                            core.onReply(
                                call.callId(),
                                error == null ? reply : null,
                                nanoClock.getAsLong())));
  }

  /**
   * Runs a callback and logs its exception. A failing listener must not stop the protocol, and a
   * failed tick must not prevent later ones.
   */
  private static void runGuarded(Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "callback or periodic task of the membership protocol failed", e);
    }
  }

  /** Passes received datagrams to the core. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      decoder
          .decode(packet.content().nioBuffer())
          .ifPresent(
              datagram -> {
                runGuarded(() -> core.onDatagram(packet.sender(), datagram, nanoClock.getAsLong()));
                performOutputs(core.drain());
              });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that fails, for example with an ICMP error, does not affect the socket.
      LOG.log(Level.DEBUG, "could not process a received datagram", cause);
    }
  }
}
