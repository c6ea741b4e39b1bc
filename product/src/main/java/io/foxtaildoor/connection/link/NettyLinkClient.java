package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.connection.link.AbstractLink.LinkContext;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.RequestStart;
import io.netty.channel.EventLoopGroup;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Keeps a few links to each node that requests go to, opened on demand. */
public final class NettyLinkClient implements LinkClient {
  private final EventLoopGroup group;
  private final LinkContext shared;
  private final Invariants invariants;
  private final RandomGenerator random;
  private final ConcurrentHashMap<NodeId, NodeLinks> linksByNode = new ConcurrentHashMap<>();
  private final Set<ClientLink> allLinks = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /**
   * Creates a client without links.
   *
   * @param clock monotonic nanoseconds
   * @param random jitter of the reconnect backoff; safe for use by several threads
   */
  public NettyLinkClient(
      EventLoopGroup group,
      LinkSettings settings,
      LinkIdentity identity,
      LinkMetrics metrics,
      Invariants invariants,
      LongSupplier clock,
      RandomGenerator random) {
    this.group = group;
    this.shared = new LinkContext(settings, identity, metrics, clock);
    this.invariants = invariants;
    this.random = random;
  }

  @Override
  public RequestStream open(NodeRecord target, RequestStart head, ResponseListener listener) {
    NodeLinks node = linksByNode.get(target.id());
    if (node == null) {
      removeUnusedNodes();
      node = linksByNode.computeIfAbsent(target.id(), id -> create(target));
    }
    NodeLinks chosen = node;
    ClientStream stream = new ClientStream(chosen.loop(), head, listener);
    runOnLoop(chosen, () -> open(chosen, stream));
    return stream;
  }

  private void open(NodeLinks node, ClientStream stream) {
    if (closed) {
      stream.fail(ErrorKind.NODE_UNREACHABLE, true, "link client is closed");
    } else {
      node.open(stream);
    }
  }

  private NodeLinks create(NodeRecord target) {
    return new NodeLinks(
        group.next(), target.address(), target.id().value(), shared, invariants, random, allLinks);
  }

  /** Forgets nodes without links once there are more of them than links may exist. */
  private void removeUnusedNodes() {
    if (linksByNode.size() < shared.settings().maxLinks()) {
      return;
    }
    linksByNode.forEach(
        (id, node) ->
            node.loop()
                .execute(
                    () -> {
                      if (node.isDiscardable(shared.clock().getAsLong())) {
                        linksByNode.remove(id, node);
                      }
                    }));
  }

  private static void runOnLoop(NodeLinks node, Runnable action) {
    if (node.loop().inEventLoop()) {
      action.run();
    } else {
      node.loop().execute(action);
    }
  }

  @Override
  public void close() {
    closed = true;
    for (ClientLink link : allLinks) {
      // A link that is not registered with its loop yet ends with its connect timeout.
      if (link.context() != null) {
        link.context().executor().execute(() -> link.close("link client is closed"));
      }
    }
  }
}
