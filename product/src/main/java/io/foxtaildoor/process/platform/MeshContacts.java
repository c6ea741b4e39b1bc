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
 * Refreshes the addresses of the whole mesh while this node is a reader and hands on those found.
 * Two readers in each of 11 data centres make at most 44 calls in each interval.
 */
final class MeshContacts {
  private static final System.Logger LOG = System.getLogger(MeshContacts.class.getName());

  /** Time between refreshes. */
  static final Duration INTERVAL = Duration.ofMinutes(1);

  /** Time between looks at the lease; the first refresh follows the election this closely. */
  private static final Duration POLL = Duration.ofSeconds(1);

  private final MeshDirectory directory;
  private final FleetView fleet;
  private final BooleanSupplier isReader;
  private final Consumer<List<InetSocketAddress>> found;
  private final TaskScheduler scheduler;
  private final RandomGenerator random;
  private volatile boolean closed;

  /**
   * Creates the task.
   *
   * @param isReader whether this node holds a reader lease now
   * @param found given the addresses after each read; empty when the platform did not answer
   */
  MeshContacts(
      MeshDirectory directory,
      FleetView fleet,
      BooleanSupplier isReader,
      Consumer<List<InetSocketAddress>> found,
      TaskScheduler scheduler,
      RandomGenerator random) {
    this.directory = directory;
    this.fleet = fleet;
    this.isReader = isReader;
    this.found = found;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts; the first look comes after a random part of a second, so readers do not conflict. */
  void start() {
    scheduler.schedule(random.nextLong(POLL.toNanos()), this::step);
  }

  void close() {
    closed = true;
  }

  private void step() {
    if (closed) {
      return;
    }
    boolean reader = isReader.getAsBoolean();
    scheduler.schedule((reader ? INTERVAL : POLL).toNanos(), this::step);
    if (reader) {
      refresh();
    }
  }

  private void refresh() {
    NodeRecord self = fleet.self();
    Set<InetSocketAddress> alive = alive(self.dataCentre());
    CompletableFuture<Void> unused =
        directory
            .refresh(self.dataCentre(), self.address(), alive::contains)
            .thenAccept(found)
            .exceptionally(
                e -> {
                  LOG.log(System.Logger.Level.ERROR, "the mesh contacts were not refreshed", e);
                  return null;
                });
  }

  private Set<InetSocketAddress> alive(DataCentreId dataCentre) {
    return fleet.nodes().stream()
        .filter(node -> node.dataCentre().equals(dataCentre))
        .filter(node -> node.state() == NodeState.ALIVE)
        .map(NodeRecord::address)
        .collect(Collectors.toSet());
  }
}
