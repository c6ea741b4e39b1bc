package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.process.invariant.Invariants;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The links to one node with its reconnect backoff; confined to one event loop. */
final class NodeLinks implements ClientLink.Owner {
  /**
   * Links to one node that may exist beside the usable ones: those that are going away or silent
   * until their streams end.
   */
  private static final int RETIRED_LIMIT = 7;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String nodeId;
  private final AbstractLink.LinkContext shared;
  private final Invariants invariants;
  private final RandomGenerator random;
  private final Set<ClientLink> allLinks;
  private final List<ClientLink> links = new ArrayList<>();
  private final ExponentialBackoff backoff;
  private ErrorKind lastFailure = ErrorKind.NODE_UNREACHABLE;
  private long nextAttemptNanos;

  NodeLinks(
      EventLoop loop,
      InetSocketAddress address,
      String nodeId,
      AbstractLink.LinkContext shared,
      Invariants invariants,
      RandomGenerator random,
      Set<ClientLink> allLinks) {
    this.loop = loop;
    this.address = address;
    this.nodeId = nodeId;
    this.shared = shared;
    this.invariants = invariants;
    this.random = random;
    this.allLinks = allLinks;
    this.backoff =
        new ExponentialBackoff(shared.settings().backoffBase(), shared.settings().backoffMax());
  }

  EventLoop loop() {
    return loop;
  }

  /** Opens a stream on the least loaded usable link; opens a link when there are too few. */
  void open(ClientStream stream) {
    if (stream.isFinished()) {
      return;
    }
    long now = shared.clock().getAsLong();
    ClientLink best = null;
    int usable = 0;
    for (ClientLink link : links) {
      if (link.usable(now)) {
        usable++;
        if (best == null || link.load() < best.load()) {
          best = link;
        }
      }
    }
    boolean wanted = best == null || (usable < shared.settings().linksPerNode() && best.load() > 0);
    if (wanted && mayConnect(now, usable)) {
      best = connect();
    }
    if (best == null) {
      stream.fail(lastFailure, true, "no link to node " + nodeId);
    } else if (best.load() >= shared.settings().maxStreams()) {
      stream.fail(ErrorKind.OVERLOADED, true, "too many streams to node " + nodeId);
    } else {
      best.open(stream);
    }
  }

  private boolean mayConnect(long now, int usable) {
    return (!backoff.hasFailed() || now - nextAttemptNanos >= 0)
        && links.size() - usable < RETIRED_LIMIT
        && allLinks.size() < shared.settings().maxLinks();
  }

  private ClientLink connect() {
    ClientLink link = new ClientLink(shared, nodeId, invariants, this);
    links.add(link);
    allLinks.add(link);
    shared.metrics().openLinks().set(allLinks.size());
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            Math.toIntExact(shared.settings().connectTimeout().toMillis()))
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                FrameCodec.install(channel.pipeline());
                channel.pipeline().addLast(link);
              }
            })
        .connect(address)
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                link.connectFailed("cannot connect to " + address + ": " + done.cause());
              }
            });
    return link;
  }

  @Override
  public void linkOpened(ClientLink link) {
    backoff.reset();
  }

  @Override
  public void linkGoingAway(ClientLink link) {
    // Until the next attempt the node is known to refuse, which spares one connection per request.
    lastFailure = ErrorKind.LEAVING;
    backOff();
  }

  @Override
  public void linkClosed(ClientLink link, boolean wasOpen) {
    links.remove(link);
    allLinks.remove(link);
    shared.metrics().openLinks().set(allLinks.size());
    if (!wasOpen) {
      lastFailure = ErrorKind.NODE_UNREACHABLE;
      backOff();
    }
  }

  private void backOff() {
    nextAttemptNanos = shared.clock().getAsLong() + backoff.recordFailure(random);
  }

  /** Whether nothing is known of the node that a new object would not know. */
  boolean forgettable(long nowNanos) {
    return links.isEmpty() && (!backoff.hasFailed() || nowNanos - nextAttemptNanos >= 0);
  }
}
