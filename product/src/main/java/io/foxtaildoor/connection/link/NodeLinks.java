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

/** All links to one node and their reconnect backoff. Confined to one event loop. */
final class NodeLinks implements ClientLink.Owner {
  /**
   * Maximum links to one node in addition to the usable ones. Such links belong to a node that is
   * leaving or have an unanswered ping, and stay open until their streams end.
   */
  private static final int MAX_RETIRED_LINKS = 7;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String nodeId;
  private final AbstractLink.LinkContext shared;
  private final Invariants invariants;
  private final RandomGenerator random;
  private final Set<ClientLink> allLinks;
  private final List<ClientLink> links = new ArrayList<>();
  private final ExponentialBackoff backoff;
  private ErrorKind lastFailureKind = ErrorKind.NODE_UNREACHABLE;
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

  /** Opens a stream on the usable link with the fewest streams; opens a new link if needed. */
  void open(ClientStream stream) {
    if (stream.isFinished()) {
      return;
    }
    long now = shared.clock().getAsLong();
    ClientLink best = null;
    int usable = 0;
    for (ClientLink link : links) {
      if (link.isUsable(now)) {
        usable++;
        if (best == null || link.streamCount() < best.streamCount()) {
          best = link;
        }
      }
    }
    boolean needsLink =
        best == null || (usable < shared.settings().linksPerNode() && best.streamCount() > 0);
    if (needsLink && canConnect(now, usable)) {
      best = connect();
    }
    if (best == null) {
      stream.fail(lastFailureKind, true, "no usable link to node " + nodeId);
    } else if (best.streamCount() >= shared.settings().maxStreamsPerLink()) {
      stream.fail(
          ErrorKind.OVERLOADED, true, "too many open streams on the link to node " + nodeId);
    } else {
      best.open(stream);
    }
  }

  private boolean canConnect(long now, int usable) {
    return (!backoff.hasFailed() || now - nextAttemptNanos >= 0)
        && links.size() - usable < MAX_RETIRED_LINKS
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
    // The node refuses new requests. Failing them until the next attempt avoids opening one
    // connection for each of them.
    lastFailureKind = ErrorKind.LEAVING;
    scheduleNextAttempt();
  }

  @Override
  public void linkClosed(ClientLink link, boolean wasOpen) {
    links.remove(link);
    allLinks.remove(link);
    shared.metrics().openLinks().set(allLinks.size());
    if (!wasOpen) {
      lastFailureKind = ErrorKind.NODE_UNREACHABLE;
      scheduleNextAttempt();
    }
  }

  private void scheduleNextAttempt() {
    nextAttemptNanos = shared.clock().getAsLong() + backoff.recordFailure(random);
  }

  /**
   * Whether this object holds no links and no active backoff, so that nothing is lost without it.
   */
  boolean isDiscardable(long nowNanos) {
    return links.isEmpty() && (!backoff.hasFailed() || nowNanos - nextAttemptNanos >= 0);
  }
}
