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
import io.foxtaildoor.version.manifest.HeldConfiguration;
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
 * One node process: proxy of its host's callers and upstream, and its part of the control plane.
 */
public final class Node {
  private static final Logger LOGGER = System.getLogger(Node.class.getName());

  /** A node serves about 100 calls a second; one loop for requests and one for control suffice. */
  private static final int EVENT_LOOPS = 2;

  private static final Duration EXPIRY_CHECK = Duration.ofMillis(500);

  /** Bound of each step of a stop that has no setting of its own. */
  private static final Duration STEP_LIMIT = Duration.ofSeconds(5);

  private final Settings settings;
  private final NodeContext context;
  private final LinkMetrics linkMetrics;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean stopping;
  private PeerListener peers;
  private ControlPlane control;
  private RequestPath requests;
  private LocalUpstream localUpstream;
  private final PlatformServices services;
  private OperatorListener operators;

  /** Creates a node that is not started, on a platform with the product's own interface. */
  public Node(Settings settings) {
    this(settings, Optional.empty());
  }

  /**
   * Creates a node that is not started.
   *
   * @param adapter speaks to a managed platform; empty for the product's own interface
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
            new NodeId(name(settings) + "-" + Long.toHexString(random.nextLong())),
            System.currentTimeMillis(),
            group,
            Executors.newSingleThreadExecutor(task -> new Thread(task, "worker")),
            TaskScheduler.on(group),
            System::nanoTime,
            random,
            new Invariants(Node::reportBreach),
            registry);
    linkMetrics = new LinkMetrics(registry);
    services =
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

  private static String name(Settings settings) {
    return settings
        .get(NODE_NAME)
        .map(NodeId::value)
        .orElseGet(() -> settings.get(DATA_CENTRE).value());
  }

  private static void reportBreach(Invariant invariant, String detail) {
    LOGGER.log(Level.ERROR, "invariant {0} does not hold: {1}", invariant, detail);
  }

  /** Binds all listeners and begins to join. */
  public BoundPorts start() {
    InetSocketAddress peerAddress = bindPeers();
    control.start();
    InetSocketAddress caller = requests.callers().start();
    operators = new OperatorListener(context.eventLoops(), router());
    InetSocketAddress operator =
        operators.start(new InetSocketAddress(settings.get(ADDRESS), settings.get(OPERATOR_PORT)));
    expireAnnouncements();
    BoundPorts ports = new BoundPorts(caller.getPort(), peerAddress.getPort(), operator.getPort());
    LOGGER.log(Level.INFO, "node {0} started: {1}", context.nodeId(), ports);
    return ports;
  }

  private InetSocketAddress bindPeers() {
    peers =
        new PeerListener(
            context.eventLoops(),
            LinkSettings.defaults(),
            ControlPlane.identity(context, () -> control),
            linkMetrics,
            context.clock(),
            (head, response) -> requests.upstream().accept(head, response),
            ControlPlane.controlHandlers(() -> control));
    InetSocketAddress address =
        peers.start(new InetSocketAddress(settings.get(ADDRESS), settings.get(PEER_PORT))).join();
    control = new ControlPlane(context, address, linkMetrics, services::createConnector);
    requests = new RequestPath(context, control, linkMetrics, services.requestProfile());
    localUpstream =
        new LocalUpstream(
            control.membership(),
            requests.upstream(),
            settings.get(ANNOUNCEMENT_EXPIRY),
            context.clock());
    return address;
  }

  private OperatorRouter router() {
    OperatorRouter router = new OperatorRouter();
    services.openResources(router, control, localUpstream, this::isReady);
    new HealthResources(this::isReady, context.registry()).register(router);
    return router;
  }

  private boolean isReady() {
    return !stopping && control.holder().current() != HeldConfiguration.EMPTY;
  }

  /**
   * Brings new settings into force as far as a running node can.
   *
   * @throws FoxtaildoorException when a value that is to take effect cannot be used; all former
   *     values stay in force then
   */
  public LiveSettings.Change reload(Settings next) {
    services.validate(next);
    LiveSettings.Change change = context.liveSettings().replace(next);
    LOGGER.log(
        Level.INFO,
        "settings read again; in force: {0}, at the next start: {1}",
        change.applied(),
        change.deferred());
    return change;
  }

  private void expireAnnouncements() {
    if (!stopping) {
      localUpstream.expireIfNotRenewed(context.clock().getAsLong());
      context.scheduler().schedule(EXPIRY_CHECK.toNanos(), this::expireAnnouncements);
    }
  }

  /**
   * Stops gracefully: announces that the node leaves, refuses new requests as not run, finishes
   * what is in flight within the drain timeout, then closes everything.
   *
   * @return whether nothing was cut
   */
  public boolean stop() {
    stopping = true;
    LOGGER.log(Level.INFO, "node {0} stops", context.nodeId());
    localUpstream.rejectAnnouncements();
    control.stopPlatformConnector();
    await("announcement of leaving", control.membership().leave(), STEP_LIMIT);
    await("notice of the stop", services.awaitStopNotice(), STEP_LIMIT);
    boolean whole = drain();
    await("flush", services.flush(), STEP_LIMIT);
    close();
    LOGGER.log(Level.INFO, "node {0} stopped; nothing was cut: {1}", context.nodeId(), whole);
    stopped.countDown();
    return whole;
  }

  private boolean drain() {
    long endNanos = context.clock().getAsLong() + services.drainTimeout().toNanos();
    CompletableFuture<Boolean> upstream =
        requests.upstream().beginDrain(context.clock().getAsLong());
    CompletableFuture<Void> streams = peers.beginDrain();
    CompletableFuture<Integer> callers = requests.callers().beginDrain();
    CompletableFuture<Void> operatorCalls = operators.beginDrain();
    boolean whole = await("requests to the upstream", upstream, left(endNanos));
    whole &= await("streams of other nodes", streams, left(endNanos));
    whole &= await("requests of callers", callers.thenApply(cut -> cut == 0), left(endNanos));
    whole &= await("operator calls", operatorCalls, left(endNanos));
    return whole;
  }

  /** All steps of the drain share one limit, because together they must end before a kill. */
  private Duration left(long endNanos) {
    return Duration.ofNanos(Math.max(0, endNanos - context.clock().getAsLong()));
  }

  /** Waits for a step of the stop; gives whether it ended in time and without a cut. */
  private static boolean await(String step, CompletableFuture<?> future, Duration limit) {
    try {
      Object result = future.get(limit.toMillis(), TimeUnit.MILLISECONDS);
      return !Boolean.FALSE.equals(result);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LOGGER.log(Level.WARNING, "stop did not finish its step: " + step, e);
    }
    return false;
  }

  private void close() {
    services.close();
    control.close();
    requests.close();
    peers.close();
    operators.close();
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
