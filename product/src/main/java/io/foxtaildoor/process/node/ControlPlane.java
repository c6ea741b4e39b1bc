package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.CLUSTER;
import static io.foxtaildoor.process.settings.NodeSettings.CONTACTS;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;
import static io.foxtaildoor.process.settings.NodeSettings.REGION;

import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.link.ControlHandler;
import io.foxtaildoor.connection.link.LinkIdentity;
import io.foxtaildoor.connection.link.LinkMetrics;
import io.foxtaildoor.connection.link.LinkSettings;
import io.foxtaildoor.connection.link.NettyControlCaller;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.membership.MembershipCallbacks;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.membership.NodeStatus;
import io.foxtaildoor.process.platform.ContactDirectory;
import io.foxtaildoor.process.platform.HttpPlatformClient;
import io.foxtaildoor.process.platform.MeshDirectory;
import io.foxtaildoor.process.platform.ReaderService;
import io.foxtaildoor.process.platform.ReaderSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.distribution.ConfigurationDistributor;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Membership, configuration distribution and reading of the platform on one node. */
final class ControlPlane {
  /** Time between looks at the platform's contacts while the node knows no other node. */
  private static final Duration CONTACT_INTERVAL = Duration.ofSeconds(15);

  /** Time after which a node that has not joined reads the platform nevertheless. */
  private static final Duration JOIN_LIMIT = Duration.ofSeconds(5);

  private final NodeContext context;
  private final LinkIdentity identity;
  private final NettyControlCaller caller;
  private final HttpPlatformClient platform;
  private final ConfigurationHolder holder;
  private final ConfigurationDistributor distributor;
  private final Membership membership;
  private final ReaderService readers;
  private final EventExecutor controlThread;
  private final ContactDirectory contacts;
  private final MeshDirectory meshContacts;
  private boolean readMesh;
  private volatile boolean stopping;

  /**
   * Creates the parts without starting them.
   *
   * @param peerAddress address of the peer listener, which is bound already
   */
  ControlPlane(NodeContext context, InetSocketAddress peerAddress, LinkMetrics linkMetrics) {
    this.context = context;
    ModuleSettings modules = new ModuleSettings(context.settings());
    identity = identity(context, () -> this);
    caller =
        new NettyControlCaller(
            context.group(), LinkSettings.defaults(), identity, linkMetrics, context.clock());
    platform =
        new HttpPlatformClient(
            modules.platform(),
            context.group(),
            context.clock(),
            context.random(),
            context.registry());
    controlThread = new DefaultEventExecutor(new DefaultThreadFactory("control"));
    TaskScheduler control = TaskScheduler.on(controlThread);
    holder = new ConfigurationHolder(context.invariants());
    distributor =
        new ConfigurationDistributor(
            modules.distribution(),
            holder,
            caller,
            (stamp, fanout) -> membership().sendNotices(stamp, fanout),
            control,
            context.clock(),
            context.random(),
            context.registry());
    membership =
        new Membership(
            modules.membership(),
            self(context, peerAddress),
            context.group(),
            context.clock(),
            context.random(),
            caller,
            new MembershipCallbacks(
                () -> holder.current().stamp(), distributor::heard, this::status));
    ReaderSettings readerSettings = modules.reader();
    readers =
        new ReaderService(
            membership,
            readerSettings,
            platform,
            distributor,
            control,
            context.clock(),
            context.random(),
            this::contactsFound);
    meshContacts = new MeshDirectory(platform);
    contacts = new ContactDirectory(platform, readerSettings.contacts());
  }

  /** How the node presents itself; the control plane may be created later than its links. */
  static LinkIdentity identity(NodeContext context, Supplier<ControlPlane> control) {
    return new LinkIdentity(
        context.settings().get(CLUSTER),
        context.nodeId(),
        () -> control.get().membership().self().incarnation());
  }

  private static NodeRecord self(NodeContext context, InetSocketAddress peerAddress) {
    Settings settings = context.settings();
    return new NodeRecord(
        context.nodeId(),
        peerAddress,
        settings.get(REGION),
        settings.get(DATA_CENTRE),
        context.incarnation(),
        NodeState.ALIVE,
        Optional.empty());
  }

  private NodeStatus status() {
    return holder
        .lastRejection()
        .map(
            rejection ->
                new NodeStatus(
                    holder.current().stamp(),
                    rejection.offered().version(),
                    rejection.reason(),
                    context.invariants().totalBreaches()))
        .orElseGet(
            () ->
                new NodeStatus(
                    holder.current().stamp(), 0, "", context.invariants().totalBreaches()));
  }

  /** Starts everything; the node begins to join. */
  void start() {
    membership.setContacts(context.settings().get(CONTACTS));
    membership.start();
    distributor.start();
    // A node whose contacts are all gone must still be able to read the platform.
    membership
        .joined()
        .completeOnTimeout(null, JOIN_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
        .thenRunAsync(this::startReading, controlThread);
    long delay = context.random().nextLong(CONTACT_INTERVAL.toNanos());
    context.scheduler().schedule(delay, this::refreshContacts);
  }

  private void startReading() {
    if (!stopping) {
      readers.start();
    }
  }

  /**
   * Adds the platform's contacts to those of the settings while the node knows no other node, so
   * that either source alone is enough to join.
   *
   * <p>The contacts of the node's data centre and those of the mesh are read in turn. The first
   * look is at a random time of the interval, so 12,000 nodes make 800 reads/s, where the platform
   * takes 2,000 reads/s.
   */
  private void refreshContacts() {
    if (stopping) {
      return;
    }
    if (membership.nodes().size() <= 1) {
      CompletableFuture<List<InetSocketAddress>> read =
          readMesh ? meshContacts.read() : contacts.read(context.settings().get(DATA_CENTRE));
      readMesh = !readMesh;
      CompletableFuture<Void> unused = read.thenAccept(this::contactsFound);
    }
    context.scheduler().schedule(CONTACT_INTERVAL.toNanos(), this::refreshContacts);
  }

  /** Keeps the contacts of the settings first; an empty result leaves the former ones in use. */
  private void contactsFound(List<InetSocketAddress> found) {
    if (!found.isEmpty()) {
      membership.setContacts(
          Stream.concat(context.settings().get(CONTACTS).stream(), found.stream())
              .distinct()
              .toList());
    }
  }

  /** Handlers of control frames; the control plane may be created after the listener is bound. */
  static Map<Frame.BodyCase, ControlHandler> controlHandlers(Supplier<ControlPlane> control) {
    ControlHandler distribution = frame -> control.get().distributor.handle(frame);
    ControlHandler records = frame -> control.get().membership.handle(frame);
    return Map.of(
        Frame.BodyCase.CONFIGURATION_PULL, distribution,
        Frame.BodyCase.PART_REQUEST, distribution,
        Frame.BodyCase.STATE_DIGEST, records,
        Frame.BodyCase.STATE_EXCHANGE, records);
  }

  Membership membership() {
    return membership;
  }

  ConfigurationHolder holder() {
    return holder;
  }

  ConfigurationDistributor distributor() {
    return distributor;
  }

  HttpPlatformClient platform() {
    return platform;
  }

  LinkIdentity identity() {
    return identity;
  }

  /** Stops reading the platform and gives the lease back. */
  void stopReading() {
    stopping = true;
    controlThread.submit(readers::close).awaitUninterruptibly();
  }

  /** Announces that the node has left and closes all connections. */
  void close() {
    membership.close();
    membership.closed().join();
    distributor.close();
    caller.close();
    platform.close();
  }

  /** Ends the control thread; the event loops, whose calls complete on it, must have ended. */
  void endThread() {
    controlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
