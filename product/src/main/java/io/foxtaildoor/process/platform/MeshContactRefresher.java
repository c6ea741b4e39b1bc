package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Periodically updates the contact addresses of the whole mesh on the platform while this node is a
 * reader, and reports the addresses that were read. With two readers in each of 11 data centres,
 * the mesh makes at most 44 calls per interval.
 */
final class MeshContactRefresher {
  private static final System.Logger LOG = System.getLogger(MeshContactRefresher.class.getName());

  /** Time between refreshes. */
  static final Duration REFRESH_INTERVAL = Duration.ofMinutes(1);

  /**
   * Interval at which a node that is not a reader checks its lease; the first refresh follows the
   * election after at most this time.
   */
  private static final Duration LEASE_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final MeshContactDirectory directory;
  private final FleetView fleet;
  private final BooleanSupplier isReader;
  private final Consumer<List<InetSocketAddress>> onContacts;
  private final TaskScheduler scheduler;
  private final RandomGenerator random;
  private volatile boolean closed;

  /**
   * Creates the periodic task.
   *
   * @param isReader returns whether this node currently holds a reader lease
   * @param onContacts receives the addresses after each read; the list is empty if the platform did
   *     not respond
   */
  MeshContactRefresher(
      MeshContactDirectory directory,
      FleetView fleet,
      BooleanSupplier isReader,
      Consumer<List<InetSocketAddress>> onContacts,
      TaskScheduler scheduler,
      RandomGenerator random) {
    this.directory = directory;
    this.fleet = fleet;
    this.isReader = isReader;
    this.onContacts = onContacts;
    this.scheduler = scheduler;
    this.random = random;
  }

  /**
   * Starts the task. The first lease check is delayed by a random fraction of a second, so that the
   * writes of different readers do not conflict.
   */
  void start() {
    scheduler.schedule(random.nextLong(LEASE_CHECK_INTERVAL.toNanos()), this::step);
  }

  void close() {
    closed = true;
  }

  private void step() {
    if (closed) {
      return;
    }
    boolean reader = isReader.getAsBoolean();
    scheduler.schedule((reader ? REFRESH_INTERVAL : LEASE_CHECK_INTERVAL).toNanos(), this::step);
    if (reader) {
      refresh();
    }
  }

  private void refresh() {
    NodeRecord self = fleet.self();
    Set<InetSocketAddress> alive = aliveAddresses(self.dataCentre());
    CompletableFuture<Void> unused =
        directory
            .refresh(self.dataCentre(), self.address(), alive::contains)
            .thenAccept(onContacts)
            .exceptionally(
                e -> {
                  LOG.log(
                      System.Logger.Level.ERROR, "refreshing the mesh contact addresses failed", e);
                  return null;
                });
  }

  private Set<InetSocketAddress> aliveAddresses(DataCentreId dataCentre) {
    return fleet.nodes().stream()
        .filter(node -> node.dataCentre().equals(dataCentre))
        .filter(node -> node.state() == NodeState.ALIVE)
        .map(NodeRecord::address)
        .collect(Collectors.toSet());
  }
}
