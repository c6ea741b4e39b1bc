package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADDRESS;
import static io.foxtaildoor.process.settings.NodeSettings.ANNOUNCEMENT_EXPIRY;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;
import static io.foxtaildoor.process.settings.NodeSettings.NODE_NAME;
import static io.foxtaildoor.process.settings.NodeSettings.OPERATOR_PORT;
import static io.foxtaildoor.process.settings.NodeSettings.PEER_PORT;

import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.link.LinkMetrics;
import io.foxtaildoor.connection.link.LinkSettings;
import io.foxtaildoor.connection.link.PeerListener;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.operator.HealthResources;
import io.foxtaildoor.process.operator.OperatorListener;
import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.settings.LiveSettings;
import io.foxtaildoor.process.settings.NodeSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * A node process: the proxy for the callers and the upstream on its host, together with the node's
 * control plane.
 */
public final class Node {
  private static final Logger LOGGER = System.getLogger(Node.class.getName());

  /**
   * A node serves about 100 calls per second, so two event loops suffice: one for requests and one
   * for control traffic.
   */
  private static final int EVENT_LOOPS = 2;

  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(500);

  /** Time limit for each step of a stop that no other limit applies to. */
  private static final Duration STOP_STEP_TIMEOUT = Duration.ofSeconds(5);

  /** Time that the listener for callers takes to close its connections at the drain timeout. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

  private final Settings settings;
  private final NodeContext context;
  private final LinkMetrics linkMetrics;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean stopping;
  private PeerListener peerListener;
  private ControlPlane control;
  private RequestPath requestPath;
  private LocalUpstream localUpstream;
  private final PlatformServices platformServices;
  private OperatorListener operatorListener;

  /** Creates a node, without starting it, for a platform with the product's own interface. */
  public Node(Settings settings) {
    this(settings, Optional.empty());
  }

  /**
   * Creates a node without starting it.
   *
   * @param adapter adapter for a managed platform; empty for a platform with the product's own
   *     interface
   */
  public Node(Settings settings, Optional<PlatformAdapter> adapter) {
    this.settings = settings;
    EventLoopGroup group = EventLoops.create(adapter.isPresent() ? 1 : EVENT_LOOPS);
    RandomGenerator random = EventLoops.newRandom();
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    context =
        new NodeContext(
            settings,
            new LiveSettings(NodeSettings.ALL, settings),
            new NodeId(nodeNamePrefix(settings) + "-" + Long.toHexString(random.nextLong())),
            System.currentTimeMillis(),
            group,
            Executors.newSingleThreadExecutor(task -> new Thread(task, "worker")),
            TaskScheduler.on(group),
            System::nanoTime,
            random,
            new Invariants(Node::reportBreach),
            registry);
    linkMetrics = new LinkMetrics(registry);
    platformServices =
        adapter
            .<PlatformServices>map(present -> new ManagedPlatformServices(context, present))
            .orElseGet(() -> new StandardPlatformServices(context));
    for (Invariant invariant : Invariant.values()) {
      Gauge.builder(
              "foxtaildoor.invariant.breaches", () -> context.invariants().breaches(invariant))
          .tag("invariant", invariant.name())
          .register(registry);
    }
  }

  private static String nodeNamePrefix(Settings settings) {
    return settings
        .get(NODE_NAME)
        .map(NodeId::value)
        .orElseGet(() -> settings.get(DATA_CENTRE).value());
  }

  private static void reportBreach(Invariant invariant, String detail) {
    LOGGER.log(Level.ERROR, "invariant {0} does not hold: {1}", invariant, detail);
  }

  /** Binds all listeners and begins to join the cluster. */
  public BoundPorts start() {
    InetSocketAddress peerAddress = createParts();
    control.start();
    InetSocketAddress caller = requestPath.callers().start();
    operatorListener = new OperatorListener(context.eventLoops(), operatorRouter());
    InetSocketAddress operator =
        operatorListener.start(
            new InetSocketAddress(settings.get(ADDRESS), settings.get(OPERATOR_PORT)));
    expireAnnouncements();
    BoundPorts ports = new BoundPorts(caller.getPort(), peerAddress.getPort(), operator.getPort());
    LOGGER.log(Level.INFO, "node {0} started: {1}", context.nodeId(), ports);
    return ports;
  }

  private InetSocketAddress createParts() {
    peerListener =
        new PeerListener(
            context.eventLoops(),
            LinkSettings.defaults(),
            ControlPlane.identity(context, () -> control),
            linkMetrics,
            context.clock(),
            (head, response) -> requestPath.upstream().accept(head, response),
            ControlPlane.controlHandlers(() -> control));
    InetSocketAddress address =
        peerListener
            .start(new InetSocketAddress(settings.get(ADDRESS), settings.get(PEER_PORT)))
            .join();
    control = new ControlPlane(context, address, linkMetrics, platformServices::createConnector);
    requestPath = new RequestPath(context, control, linkMetrics, platformServices.requestProfile());
    localUpstream =
        new LocalUpstream(
            control.membership(),
            requestPath.upstream(),
            settings.get(ANNOUNCEMENT_EXPIRY),
            context.clock());
    return address;
  }

  private OperatorRouter operatorRouter() {
    OperatorRouter router = new OperatorRouter();
    platformServices.openResources(router, control, localUpstream, this::isReady);
    new HealthResources(this::isReady, context.registry()).register(router);
    return router;
  }

  private boolean isReady() {
    return !stopping && control.holder().current() != ConfigurationSnapshot.EMPTY;
  }

  /**
   * Applies those of the new settings that can change while the node runs.
   *
   * @throws FoxtaildoorException when a value that would take effect is invalid; in this case all
   *     previous values stay in force
   */
  public LiveSettings.Change reload(Settings next) {
    platformServices.validate(next);
    LiveSettings.Change change = context.liveSettings().replace(next);
    LOGGER.log(
        Level.INFO,
        "settings reloaded; in force: {0}, deferred to the next start: {1}",
        change.applied(),
        change.deferred());
    return change;
  }

  private void expireAnnouncements() {
    if (!stopping) {
      localUpstream.expireIfNotRenewed(context.clock().getAsLong());
      context.scheduler().schedule(EXPIRY_CHECK_INTERVAL.toNanos(), this::expireAnnouncements);
    }
  }

  /**
   * Stops the node gracefully: announces that it is leaving, serves callers until they had time to
   * notice it, refuses new requests as not run, finishes those in flight, and then closes
   * everything. A request that may not end before that is refused as not run.
   *
   * @param signalNanos time of the termination signal on the clock of {@link System#nanoTime}, from
   *     which the platform counts its limit
   * @return whether all requests finished, so that none was interrupted
   */
  public boolean stop(long signalNanos) {
    StopSchedule schedule = platformServices.stopSchedule();
    long noticeEndNanos = signalNanos + schedule.notice().toNanos();
    long closeNanos = signalNanos + schedule.close().toNanos();
    stopping = true;
    requestPath.stopAdmission().begin(noticeEndNanos, closeNanos);
    LOGGER.log(Level.INFO, "stopping node {0}", context.nodeId());
    localUpstream.rejectAnnouncements();
    control.stopPlatformConnector();
    awaitStep(
        "announce to the cluster that the node is leaving",
        control.membership().leave(),
        schedule.notice().isZero() ? STOP_STEP_TIMEOUT : schedule.notice());
    awaitStep(
        "wait for callers to notice the stop",
        context.scheduler().delay(remaining(noticeEndNanos)),
        STOP_STEP_TIMEOUT);
    boolean finished = drain(closeNanos);
    awaitStep("flush", platformServices.flush(), STOP_STEP_TIMEOUT);
    close();
    LOGGER.log(
        Level.INFO, "node {0} stopped; all requests finished: {1}", context.nodeId(), finished);
    stopped.countDown();
    return finished;
  }

  private boolean drain(long closeNanos) {
    CompletableFuture<Boolean> upstreamDrained =
        requestPath.upstream().beginDrain(context.clock().getAsLong());
    CompletableFuture<Void> peersDrained = peerListener.beginDrain();
    CompletableFuture<Integer> callersDrained =
        requestPath.callers().beginDrain(remaining(closeNanos));
    CompletableFuture<Void> operatorsDrained = operatorListener.beginDrain();
    boolean finished =
        awaitStep("drain requests to the upstream", upstreamDrained, remaining(closeNanos));
    finished &= awaitStep("drain streams of other nodes", peersDrained, remaining(closeNanos));
    finished &=
        awaitStep(
            "drain requests of callers",
            callersDrained.thenApply(cut -> cut == 0),
            remaining(closeNanos).plus(CLOSE_TIMEOUT));
    finished &= awaitStep("drain operator calls", operatorsDrained, remaining(closeNanos));
    return finished;
  }

  /**
   * Returns the time left until a moment of the stop. All steps share the moments of the schedule,
   * because together they must end before the process is killed.
   */
  private Duration remaining(long endNanos) {
    return Duration.ofNanos(Math.max(0, endNanos - context.clock().getAsLong()));
  }

  /**
   * Waits for a step of the stop. Returns whether the step ended in time and interrupted nothing.
   */
  private static boolean awaitStep(String step, CompletableFuture<?> future, Duration limit) {
    try {
      Object result = future.get(limit.toMillis(), TimeUnit.MILLISECONDS);
      return !Boolean.FALSE.equals(result);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LOGGER.log(Level.WARNING, "step of the stop failed or timed out: " + step, e);
    }
    return false;
  }

  private void close() {
    platformServices.close();
    control.close();
    requestPath.close();
    peerListener.close();
    operatorListener.close();
    context.worker().shutdown();
    EventLoops.shutdown(context.eventLoops());
    control.shutdownControlThread();
    context.registry().close();
  }

  /** Waits until the node has stopped. */
  public void awaitStop() {
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
