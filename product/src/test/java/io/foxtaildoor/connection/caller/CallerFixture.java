package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.protocol.CallerBounds;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.request.admission.EventLoopGuard;
import io.foxtaildoor.request.admission.StopAdmission;
import io.foxtaildoor.request.balance.BalanceSettings;
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.request.idempotency.KeyedRequestTable;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryPolicy;
import io.foxtaildoor.request.retry.RetrySettings;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * A started listener and a service with two instances, reached over fake links that the test
 * controls.
 */
final class CallerFixture implements AutoCloseable {
  static final int MAX_BODY_BYTES = 256 * 1024;
  static final int MAX_TOTAL_REPLAY_BYTES = 80 * 1024;
  static final int SHORT_DEADLINE_MILLIS = 100;
  static final ServiceId SERVICE = new ServiceId("bookings");

  final FakeLinkClient linkClient = new FakeLinkClient();
  final Invariants invariants = new Invariants((invariant, detail) -> {});
  final CallerMetrics metrics = new CallerMetrics(new SimpleMeterRegistry());
  final EventLoopGuard processorGuard = new EventLoopGuard();
  final StopAdmission stopAdmission = new StopAdmission();
  final Fleet fleet = new Fleet();
  final RetryBudgets retryBudgets = new RetryBudgets(RetrySettings.defaults(), System.nanoTime());
  final CallerListener listener;
  final InetSocketAddress address;
  volatile ConfigurationSnapshot configuration = configuration();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  CallerFixture() {
    this(Duration.ofSeconds(10));
  }

  CallerFixture(Duration headTimeout) {
    this(headTimeout, CallerSettings.defaults().maxConnections());
  }

  CallerFixture(int maxConnections) {
    this(Duration.ofSeconds(10), maxConnections);
  }

  private CallerFixture(Duration headTimeout, int maxConnections) {
    CallerSettings defaults = CallerSettings.defaults();
    CallerSettings settings =
        new CallerSettings(
            defaults.address(),
            maxConnections,
            defaults.maxRequestLineBytes(),
            defaults.maxHeaderBytes(),
            headTimeout,
            defaults.idleTimeout(),
            defaults.maxReplayBytes(),
            MAX_TOTAL_REPLAY_BYTES,
            Duration.ofMillis(50));
    listener = new CallerListener(settings, dependencies(), group);
    address = listener.start();
  }

  CallerDependencies dependencies() {
    SplittableRandom random = new SplittableRandom(3);
    return new CallerDependencies(
        CallerProtocol.STANDARD,
        new CallerTimeoutTracker(0),
        new RequestLog(),
        processorGuard,
        stopAdmission,
        () -> configuration,
        fleet,
        linkClient,
        new UpstreamSelector(
            BalanceSettings.defaults(), new RegionId("oslo"), new DataCentreId("oslo-a")),
        new RetryPolicy(RetrySettings.defaults()),
        retryBudgets,
        new KeyedRequestTable(1_000),
        invariants,
        metrics,
        System::nanoTime,
        () -> random);
  }

  /** Runs an action on the event loop that serves all connections. */
  void runOnEventLoop(Runnable action) {
    group.execute(action);
  }

  /** Runs an action on the event loop after the loop has handled pending socket events. */
  void runAfterSocketEvents(Runnable action) {
    group.schedule(action, 1, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  RawCaller connectCaller() throws IOException {
    return new RawCaller(address);
  }

  @Override
  public void close() {
    listener.close();
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static ConfigurationSnapshot configuration() {
    return configuration(CallerBounds.getDefaultInstance());
  }

  /** Builds a configuration version with the given limits for callers. */
  static ConfigurationSnapshot configuration(CallerBounds bounds) {
    TeamConfiguration team =
        TeamConfiguration.newBuilder()
            .setCallerBounds(bounds)
            .setTeam("bookings-team")
            .setMember("pamoja")
            .addServices(service("bookings", "*"))
            .addServices(service("closed", "desk"))
            .addRoutes(route("book", "bookings", false, 60_000))
            .addRoutes(route("check", "bookings", true, 60_000))
            .addRoutes(route("short", "bookings", true, SHORT_DEADLINE_MILLIS))
            .addRoutes(route("closed", "closed", true, 60_000))
            .build();
    byte[] content = team.toByteArray();
    Digest digest = Digest.of(content);
    Manifest manifest = Manifest.of(1, new TreeMap<>(Map.of(new TeamId("bookings-team"), digest)));
    return ConfigurationSnapshot.build(manifest, Map.of(digest, content));
  }

  private static ServiceConfiguration service(String id, String caller) {
    return ServiceConfiguration.newBuilder().setId(id).addCallers(caller).setSlots(9).build();
  }

  private static RouteConfiguration route(
      String name, String service, boolean idempotent, int deadlineMillis) {
    return RouteConfiguration.newBuilder()
        .setName(name)
        .setHost("h")
        .setPath("/" + name)
        .setPrefix(true)
        .setService(service)
        .setIdempotent(idempotent)
        .setRank(WireRank.HIGH)
        .setDeadlineMillis(deadlineMillis)
        .setMaxBodyBytes(MAX_BODY_BYTES)
        .build();
  }

  static NodeRecord node(String id) {
    return new NodeRecord(
        new NodeId(id),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        new RegionId("oslo"),
        new DataCentreId("oslo-a"),
        1,
        NodeState.ALIVE,
        Optional.of(new UpstreamAnnouncement(SERVICE, 9, -3_600_000_000_000L)));
  }

  /** A fleet view whose nodes the test sets. */
  static final class Fleet implements FleetView {
    final List<NodeRecord> nodes =
        new CopyOnWriteArrayList<>(List.of(CallerFixture.node("a"), CallerFixture.node("b")));

    @Override
    public NodeRecord self() {
      return nodes.get(0);
    }

    @Override
    public List<NodeRecord> nodes() {
      return List.copyOf(nodes);
    }

    @Override
    public Optional<NodeRecord> node(NodeId id) {
      return nodes.stream().filter(node -> node.id().equals(id)).findFirst();
    }

    @Override
    public List<NodeRecord> upstreams(ServiceId service) {
      return service.equals(SERVICE) ? nodes() : List.of();
    }

    @Override
    public void addListener(Consumer<NodeRecord> listener) {}
  }
}
