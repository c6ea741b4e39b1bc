package io.foxtaildoor.process.node;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.platform.HttpKeyValueStore;
import io.foxtaildoor.process.platform.KeyValueStore;
import io.foxtaildoor.process.platform.MeshContactDirectory;
import io.foxtaildoor.process.platform.OperatorDocumentReader;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.platform.PublishedConfigurationReceiver;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Connects a node to a managed platform. Only a limited number of nodes in each data centre read
 * the configuration from the platform. These readers are chosen by rendezvous hashing over the
 * nodes known to be alive, so no election has to be stored on the platform, and in a small fleet
 * every node is a reader.
 */
final class ManagedPlatformConnector implements PlatformConnector {
  private static final Logger LOGGER = System.getLogger(ManagedPlatformConnector.class.getName());

  /**
   * Maximum number of nodes in a data centre that read the configuration from the platform. In 11
   * data centres these are 352 pending watches, which make 117 calls per second.
   */
  private static final int MAX_READERS = 32;

  /**
   * Time for which the platform may leave a watch unanswered. A watch on a connection that no
   * longer responds is abandoned after this time plus the call timeout.
   */
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(3);

  /** Mean time between two reads of the mesh contacts while the node is joining. */
  private static final Duration JOINING_REFRESH_INTERVAL = Duration.ofMillis(400);

  /** Mean time between two reads of the mesh contacts after the node has joined. */
  private static final Duration JOINED_REFRESH_INTERVAL = Duration.ofSeconds(30);

  /**
   * Time after the start of this process during which contacts unknown to membership are kept,
   * because their nodes may still be starting.
   */
  private static final Duration UNKNOWN_CONTACT_GRACE = Duration.ofSeconds(15);

  private final NodeContext context;
  private final Membership membership;
  private final HttpKeyValueStore store;
  private final MeshContactDirectory meshDirectory;
  private final OperatorDocumentReader reader;
  private final long startedNanos;
  private volatile boolean stopping;

  ManagedPlatformConnector(
      NodeContext context,
      PlatformAdapter adapter,
      Membership membership,
      PublishedConfigurationReceiver distributor,
      TaskScheduler control) {
    this.context = context;
    this.membership = membership;
    startedNanos = context.clock().getAsLong();
    store =
        new HttpKeyValueStore(
            adapter.storeProtocol(),
            new ModuleSettings(context.settings()).managedPlatform(),
            context.eventLoops(),
            context.clock(),
            context.random(),
            context.registry());
    meshDirectory = new MeshContactDirectory(store);
    reader =
        new OperatorDocumentReader(
            adapter.configurationKey(),
            WATCH_TIMEOUT,
            store,
            adapter.configurationDecoder(),
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

  /**
   * Reads the contact addresses of the mesh from the platform, updates the entries of this node's
   * data centre, and schedules the next refresh.
   */
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
      LOGGER.log(Level.ERROR, "cannot refresh the mesh contacts", error);
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
