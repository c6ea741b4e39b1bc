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

/** Opens links to other nodes on demand and keeps a small number of them per node. */
public final class NettyLinkClient implements LinkClient {
  private final EventLoopGroup group;
  private final LinkContext shared;
  private final Invariants invariants;
  private final RandomGenerator random;
  private final ConcurrentHashMap<NodeId, NodeLinks> linksByNode = new ConcurrentHashMap<>();
  private final Set<ClientLink> allLinks = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /**
   * Creates a client; links are opened on demand.
   *
   * @param clock monotonic clock in nanoseconds
   * @param random source of the jitter of the reconnect backoff; must be thread-safe
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
    NodeLinks nodeLinks = node;
    ClientStream stream = new ClientStream(nodeLinks.loop(), head, listener);
    runOnLoop(nodeLinks, () -> open(nodeLinks, stream));
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

  /** Removes nodes without links when at least as many nodes are held as links may exist. */
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
      // A link that is not registered with its event loop yet is closed by its connect timeout.
      if (link.context() != null) {
        link.context().executor().execute(() -> link.close("link client is closed"));
      }
    }
  }
}
