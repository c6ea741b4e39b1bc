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
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.distribution.ConfigurationDistributor;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The control plane of one node: cluster membership, distribution of the configuration, and the
 * connection to the platform.
 */
final class ControlPlane {
  private final NodeContext context;
  private final LinkIdentity identity;
  private final NettyControlCaller caller;
  private final ConfigurationHolder holder;
  private final ConfigurationDistributor distributor;
  private final Membership membership;
  private final EventExecutor controlThread;
  private final PlatformConnector platformConnector;

  /**
   * Creates the components without starting them.
   *
   * @param peerAddress address to which the peer listener is already bound
   * @param connectorFactory creates the connector to the platform; called last, because the
   *     connector uses the other components
   */
  ControlPlane(
      NodeContext context,
      InetSocketAddress peerAddress,
      LinkMetrics linkMetrics,
      Function<ControlPlane, PlatformConnector> connectorFactory) {
    this.context = context;
    ModuleSettings modules = new ModuleSettings(context.settings());
    identity = identity(context, () -> this);
    caller =
        new NettyControlCaller(
            context.eventLoops(), LinkSettings.defaults(), identity, linkMetrics, context.clock());
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
            selfRecord(context, peerAddress),
            context.eventLoops(),
            context.clock(),
            context.random(),
            caller,
            new MembershipCallbacks(
                () -> holder.current().stamp(), distributor::stampReceived, this::status));
    platformConnector = connectorFactory.apply(this);
  }

  /**
   * Returns the identity with which the node opens and accepts links. The control plane is supplied
   * lazily, because it may be created after the links.
   */
  static LinkIdentity identity(NodeContext context, Supplier<ControlPlane> control) {
    return new LinkIdentity(
        context.settings().get(CLUSTER),
        context.nodeId(),
        () -> control.get().membership().self().incarnation());
  }

  private static NodeRecord selfRecord(NodeContext context, InetSocketAddress peerAddress) {
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

  /** Starts all components, after which the node begins to join the cluster. */
  void start() {
    membership.setContacts(context.settings().get(CONTACTS));
    membership.start();
    distributor.start();
    platformConnector.start();
  }

  /**
   * Returns the handlers of control frames. The control plane is supplied lazily, because it may be
   * created after the listener is bound.
   */
  static Map<Frame.BodyCase, ControlHandler> controlHandlers(Supplier<ControlPlane> control) {
    ControlHandler distributionHandler = frame -> control.get().distributor.handle(frame);
    ControlHandler membershipHandler = frame -> control.get().membership.handle(frame);
    return Map.of(
        Frame.BodyCase.CONFIGURATION_PULL, distributionHandler,
        Frame.BodyCase.PART_REQUEST, distributionHandler,
        Frame.BodyCase.STATE_DIGEST, membershipHandler,
        Frame.BodyCase.STATE_EXCHANGE, membershipHandler);
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

  EventExecutor controlThread() {
    return controlThread;
  }

  LinkIdentity identity() {
    return identity;
  }

  /**
   * Stops reading the configuration from the platform and releases the reader lease, if the node
   * holds one.
   */
  void stopPlatformConnector() {
    platformConnector.stop();
  }

  /** Announces to the cluster that the node has left, and closes all connections. */
  void close() {
    membership.close();
    membership.closed().join();
    distributor.close();
    caller.close();
    platformConnector.close();
  }

  /**
   * Shuts down the control thread. The event loops must have been shut down before, because their
   * calls complete on this thread.
   */
  void shutdownControlThread() {
    controlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
