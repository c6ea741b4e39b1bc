package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.connection.link.AbstractLink.LinkContext;
import io.foxtaildoor.protocol.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Sends control calls to other nodes over a bounded number of connections, one call at a time on
 * each.
 */
public final class NettyControlCaller implements ControlCaller, AutoCloseable {
  private final EventLoopGroup group;
  private final LinkContext shared;
  private final Object lock = new Object();
  private final Map<InetSocketAddress, ArrayDeque<ControlLink>> idleLinks = new HashMap<>();
  private final Map<ControlLink, Boolean> idleAtLastHeartbeat = new HashMap<>();
  private final Set<ControlLink> allLinks = new HashSet<>();
  private final ArrayDeque<ControlCall> waitingCalls = new ArrayDeque<>();
  private boolean closed;

  /**
   * Creates a caller; connections are opened on demand.
   *
   * @param clock monotonic clock in nanoseconds
   */
  public NettyControlCaller(
      EventLoopGroup group,
      LinkSettings settings,
      LinkIdentity identity,
      LinkMetrics metrics,
      LongSupplier clock) {
    this.group = group;
    this.shared = new LinkContext(settings, identity, metrics, clock);
  }

  @Override
  public CompletableFuture<Frame> call(InetSocketAddress address, Frame request) {
    ControlCall call = new ControlCall(address, request);
    long deadlineNanos = shared.settings().controlDeadline().toNanos();
    var timer = group.next().schedule(call::expire, deadlineNanos, TimeUnit.NANOSECONDS);
    CompletableFuture<Frame> reply =
        call.reply().whenComplete((frame, cause) -> timer.cancel(false));
    submit(call);
    return reply;
  }

  /** Assigns an unsent call to a connection, or queues it until one is available. */
  void submit(ControlCall call) {
    ControlLink reused;
    synchronized (lock) {
      if (closed) {
        call.fail(new FoxtaildoorException(ErrorKind.NODE_UNREACHABLE, "control caller is closed"));
        return;
      }
      reused = pollIdle(call.address());
      if (reused == null && allLinks.size() >= shared.settings().maxControlConnections()) {
        enqueue(call);
        return;
      }
      if (reused == null) {
        connect(call);
        return;
      }
      call.assignTo(reused);
    }
    reused.context().executor().execute(() -> reused.startExchange(call));
  }

  private ControlLink pollIdle(InetSocketAddress address) {
    ArrayDeque<ControlLink> links = idleLinks.get(address);
    if (links == null) {
      return null;
    }
    ControlLink link = links.pollLast();
    idleAtLastHeartbeat.remove(link);
    if (links.isEmpty()) {
      idleLinks.remove(address);
    }
    return link;
  }

  private void enqueue(ControlCall call) {
    waitingCalls.removeIf(ControlCall::isDone);
    if (waitingCalls.size() >= shared.settings().maxWaitingControlCalls()) {
      call.fail(
          new FoxtaildoorException(
              ErrorKind.OVERLOADED, "too many control calls are waiting for a connection"));
      return;
    }
    waitingCalls.add(call);
    // Closes one idle connection, so that its slot can be used for a call to another node.
    for (ArrayDeque<ControlLink> unused : idleLinks.values()) {
      ControlLink evicted = unused.peekFirst();
      evicted.context().executor().execute(() -> evictIdle(evicted));
      return;
    }
  }

  private void evictIdle(ControlLink link) {
    if (removeIdle(link)) {
      link.close("connection is needed for another node");
    }
  }

  private boolean removeIdle(ControlLink link) {
    synchronized (lock) {
      ArrayDeque<ControlLink> links = idleLinks.get(link.address());
      if (links == null || !links.remove(link)) {
        return false;
      }
      idleAtLastHeartbeat.remove(link);
      if (links.isEmpty()) {
        idleLinks.remove(link.address());
      }
      return true;
    }
  }

  private void connect(ControlCall call) {
    ControlLink link = new ControlLink(shared, call.address(), this, call);
    call.assignTo(link);
    allLinks.add(link);
    new Bootstrap()
        .group(group)
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
        .connect(call.address())
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                link.connectFailed(done.cause());
              }
            });
  }

  /** Reuses a connection whose call has completed for a waiting call, or keeps it as idle. */
  void onExchangeFinished(ControlLink link) {
    ControlCall next;
    synchronized (lock) {
      next = nextWaiting();
      if (next == null && !closed) {
        idleLinks.computeIfAbsent(link.address(), address -> new ArrayDeque<>()).add(link);
        return;
      }
      if (next != null && !next.address().equals(link.address())) {
        waitingCalls.addFirst(next);
        next = null;
      }
      if (next != null) {
        next.assignTo(link);
      }
    }
    ControlCall nextCall = next;
    if (nextCall == null) {
      link.close("connection is needed for another node");
    } else {
      link.startExchange(nextCall);
    }
  }

  private ControlCall nextWaiting() {
    ControlCall next = waitingCalls.poll();
    while (next != null && next.isDone()) {
      next = waitingCalls.poll();
    }
    return next;
  }

  /** Removes a closed connection and opens one for the next waiting call. */
  void onConnectionClosed(ControlLink link) {
    synchronized (lock) {
      removeIdle(link);
      if (allLinks.remove(link) && !closed) {
        ControlCall next = nextWaiting();
        if (next != null) {
          connect(next);
        }
      }
    }
  }

  /**
   * Removes a connection that has been idle for two heartbeats; returns true when the connection
   * was removed and must be closed.
   */
  boolean retireIdle(ControlLink link) {
    synchronized (lock) {
      ArrayDeque<ControlLink> links = idleLinks.get(link.address());
      boolean isIdle = links != null && links.contains(link);
      return isIdle && idleAtLastHeartbeat.put(link, true) != null && removeIdle(link);
    }
  }

  @Override
  public void close() {
    List<ControlLink> open;
    List<ControlCall> unsent;
    synchronized (lock) {
      closed = true;
      open = new ArrayList<>(allLinks);
      unsent = new ArrayList<>(waitingCalls);
      waitingCalls.clear();
    }
    for (ControlCall call : unsent) {
      call.fail(new FoxtaildoorException(ErrorKind.NODE_UNREACHABLE, "control caller is closed"));
    }
    for (ControlLink link : open) {
      if (link.context() != null) {
        link.context().executor().execute(() -> link.close("control caller is closed"));
      }
    }
  }
}
