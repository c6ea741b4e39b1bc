package io.foxtaildoor.process.node;

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
import io.foxtaildoor.process.platform.ReaderSelection;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Connects a node to a managed platform. Only a limited number of nodes read the configuration from
 * the platform; {@link ReaderSelection} chooses them among the nodes known to be alive.
 */
final class ManagedPlatformConnector implements PlatformConnector {
  private static final Logger LOGGER = System.getLogger(ManagedPlatformConnector.class.getName());

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
            () -> ReaderSelection.watchWait(membership.self(), membership.nodes()),
            store,
            adapter.configurationDecoder(),
            () -> ReaderSelection.isReader(membership.self(), membership.nodes()),
            distributor,
            control,
            context.random());
  }

  KeyValueStore store() {
    return store;
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
