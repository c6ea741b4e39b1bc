package io.foxtaildoor.process.node;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.platform.HttpKeyValueStore;
import io.foxtaildoor.process.platform.KeyValueStore;
import io.foxtaildoor.process.platform.MeshDirectory;
import io.foxtaildoor.process.platform.OperatorDocumentReader;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.platform.PublishedConfiguration;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform side of a node on a managed platform. Each data centre has a bounded number of
 * readers, chosen by rendezvous order over the nodes known to be alive, so that no election is kept
 * on the platform and a small fleet reads on every node.
 */
final class ManagedPlatformConnector implements PlatformConnector {
  private static final Logger LOGGER = System.getLogger(ManagedPlatformConnector.class.getName());

  /**
   * Nodes of a data centre that read the configuration directly. In 11 data centres they wait in
   * 352 watches, which is 117 calls a second.
   */
  private static final int MAX_READERS = 32;

  /**
   * Time for which the platform may hold a watch. One on a connection that went silent is given up
   * after this and the limit of a call.
   */
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(3);

  /** Time between looks at the contacts while the node knows too few others. */
  private static final Duration JOINING_REFRESH_INTERVAL = Duration.ofMillis(400);

  /** Time between looks at the contacts of a node that has joined. */
  private static final Duration JOINED_REFRESH_INTERVAL = Duration.ofSeconds(30);

  /** Age of the process up to which contacts that are not known are kept: they may be starting. */
  private static final Duration UNKNOWN_CONTACT_GRACE = Duration.ofSeconds(15);

  private final NodeContext context;
  private final Membership membership;
  private final HttpKeyValueStore store;
  private final MeshDirectory meshDirectory;
  private final OperatorDocumentReader reader;
  private final long startedNanos;
  private volatile boolean stopping;

  ManagedPlatformConnector(
      NodeContext context,
      PlatformAdapter adapter,
      Membership membership,
      PublishedConfiguration distributor,
      TaskScheduler control) {
    this.context = context;
    this.membership = membership;
    startedNanos = context.clock().getAsLong();
    store =
        new HttpKeyValueStore(
            adapter.store(),
            new ModuleSettings(context.settings()).managedPlatform(),
            context.eventLoops(),
            context.clock(),
            context.random(),
            context.registry());
    meshDirectory = new MeshDirectory(store);
    reader =
        new OperatorDocumentReader(
            adapter.configurationKey(),
            WATCH_TIMEOUT,
            store,
            adapter.configuration(),
            this::isReader,
            distributor,
            control,
            context.random());
  }

  KeyValueStore store() {
    return store;
  }

  private boolean isReader() {
    NodeRecord self = membership.self();
    List<NodeId> localNodes =
        membership.nodes().stream()
            .filter(node -> node.dataCentre().equals(self.dataCentre()))
            .filter(node -> node.state() == NodeState.ALIVE || node.id().equals(self.id()))
            .map(NodeRecord::id)
            .toList();
    RendezvousOrder order = new RendezvousOrder(self.dataCentre().value(), "readers");
    return order.position(self.id(), localNodes) < MAX_READERS;
  }

  @Override
  public void start() {
    reader.start();
    refreshContacts();
  }

  /** Reads the contacts of the mesh and adds this node's address where there is room. */
  private void refreshContacts() {
    if (stopping) {
      return;
    }
    NodeRecord self = membership.self();
    CompletableFuture<Void> unused =
        meshDirectory
            .refresh(self.dataCentre(), self.address(), this::mayBeAlive)
            .thenAccept(this::useContacts)
            .whenComplete((done, error) -> scheduleRefresh(error));
  }

  private void useContacts(List<InetSocketAddress> addresses) {
    if (!addresses.isEmpty()) {
      membership.setContacts(addresses);
    }
  }

  private void scheduleRefresh(Throwable error) {
    if (error != null) {
      LOGGER.log(Level.ERROR, "the mesh contacts were not refreshed", error);
    }
    Duration interval = isJoining() ? JOINING_REFRESH_INTERVAL : JOINED_REFRESH_INTERVAL;
    long jitter = context.random().nextLong(interval.toNanos());
    context.scheduler().schedule(interval.toNanos() / 2 + jitter, this::refreshContacts);
  }

  private boolean isJoining() {
    return hasJustStarted() || aliveNodes() <= 1;
  }

  private boolean hasJustStarted() {
    return context.clock().getAsLong() - startedNanos < JOINING_REFRESH_INTERVAL.toNanos() * 4;
  }

  private long aliveNodes() {
    return membership.nodes().stream().filter(node -> node.state() == NodeState.ALIVE).count();
  }

  private boolean mayBeAlive(InetSocketAddress address) {
    boolean withinGrace =
        context.clock().getAsLong() - startedNanos < UNKNOWN_CONTACT_GRACE.toNanos();
    return membership.nodes().stream()
        .filter(node -> node.address().equals(address))
        .map(node -> node.state() == NodeState.ALIVE)
        .reduce(Boolean::logicalOr)
        .orElse(withinGrace);
  }

  @Override
  public void stop() {
    stopping = true;
    reader.close();
  }

  @Override
  public void close() {
    store.close();
  }
}
