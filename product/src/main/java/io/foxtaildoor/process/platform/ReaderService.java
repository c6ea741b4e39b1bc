package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Assembles the reader election, the lease keeper, the configuration reader and the refresh of mesh
 * contact addresses of one node.
 */
public final class ReaderService implements AutoCloseable {
  private final FleetView fleet;
  private final ReaderSettings settings;
  private final HttpPlatformClient client;
  private final PublishedConfigurationReceiver distributor;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final Consumer<List<InetSocketAddress>> onMeshContacts;
  private MeshContactRefresher contactRefresher;
  private ReaderLeaseKeeper leaseKeeper;
  private ConfigurationReader reader;

  /**
   * Creates the service.
   *
   * @param fleet provides this node's id, address and data centre, and the nodes that are alive
   * @param scheduler runs the tasks on a single thread that serves no requests, because applying a
   *     version takes tens of milliseconds
   * @param clock monotonic time in nanoseconds
   * @param onMeshContacts receives the contact addresses of the whole mesh, which a reader reads
   *     every minute
   * @param random thread-safe source of random numbers
   */
  public ReaderService(
      FleetView fleet,
      ReaderSettings settings,
      HttpPlatformClient client,
      PublishedConfigurationReceiver distributor,
      TaskScheduler scheduler,
      LongSupplier clock,
      RandomGenerator random,
      Consumer<List<InetSocketAddress>> onMeshContacts) {
    this.fleet = fleet;
    this.settings = settings;
    this.client = client;
    this.distributor = distributor;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.onMeshContacts = onMeshContacts;
  }

  /**
   * Starts taking part in the election. Must be called once, after the node has joined the cluster.
   */
  public void start() {
    NodeRecord self = fleet.self();
    DataCentreId dataCentre = self.dataCentre();
    ReaderElection election =
        new ReaderElection(self.id(), dataCentre, settings, clock.getAsLong(), random);
    leaseKeeper = new ReaderLeaseKeeper(election, client, this::aliveNodes, scheduler, clock);
    reader =
        new ConfigurationReader(
            dataCentre,
            self.address(),
            settings,
            client,
            client.partFetches(),
            leaseKeeper::isReader,
            distributor,
            scheduler,
            clock,
            random);
    contactRefresher =
        new MeshContactRefresher(
            new MeshContactDirectory(client),
            fleet,
            leaseKeeper::isReader,
            onMeshContacts,
            scheduler,
            random);
    leaseKeeper.start();
    reader.start();
    contactRefresher.start();
  }

  /** Returns whether this node is one of the configuration readers of its data centre. */
  public boolean isReader() {
    return leaseKeeper != null && leaseKeeper.isReader();
  }

  private List<NodeId> aliveNodes() {
    DataCentreId dataCentre = fleet.self().dataCentre();
    return fleet.nodes().stream()
        .filter(node -> node.dataCentre().equals(dataCentre))
        .filter(node -> node.state() == NodeState.ALIVE)
        .map(NodeRecord::id)
        .toList();
  }

  /** Stops reading and releases the reader lease. */
  @Override
  public void close() {
    if (leaseKeeper != null) {
      contactRefresher.close();
      reader.close();
      leaseKeeper.close();
    }
  }
}
