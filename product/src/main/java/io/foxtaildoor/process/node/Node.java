package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADDRESS;
import static io.foxtaildoor.process.settings.NodeSettings.ANNOUNCEMENT_EXPIRY;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;
import static io.foxtaildoor.process.settings.NodeSettings.DRAIN_TIMEOUT;
import static io.foxtaildoor.process.settings.NodeSettings.OPERATOR_PORT;
import static io.foxtaildoor.process.settings.NodeSettings.PEER_PORT;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.link.LinkMetrics;
import io.foxtaildoor.connection.link.LinkSettings;
import io.foxtaildoor.connection.link.PeerListener;
import io.foxtaildoor.process.audit.AuditSettings;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.operator.ApplicationAudit;
import io.foxtaildoor.process.operator.ApprovalResources;
import io.foxtaildoor.process.operator.ConfigurationResources;
import io.foxtaildoor.process.operator.HealthResources;
import io.foxtaildoor.process.operator.OperatorListener;
import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.operator.UpstreamResource;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.version.approval.ApprovalEnvironment;
import io.foxtaildoor.version.approval.ApprovalService;
import io.foxtaildoor.version.approval.ApprovalSettings;
import io.foxtaildoor.version.manifest.HeldConfiguration;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.UUID;
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
  private AuditTrail audit;
  private OperatorListener operators;

  /** Creates a node that is not started. */
  public Node(Settings settings) {
    this.settings = settings;
    EventLoopGroup group = EventLoops.create(EVENT_LOOPS);
    RandomGenerator random = EventLoops.random();
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    context =
        new NodeContext(
            settings,
            new NodeId(settings.get(DATA_CENTRE) + "-" + Long.toHexString(random.nextLong())),
            System.currentTimeMillis(),
            group,
            Executors.newSingleThreadExecutor(task -> new Thread(task, "worker")),
            TaskScheduler.on(group),
            System::nanoTime,
            random,
            new Invariants(Node::reportBreach),
            registry);
    linkMetrics = new LinkMetrics(registry);
    for (Invariant invariant : Invariant.values()) {
      Gauge.builder(
              "foxtaildoor.invariant.breaches", () -> context.invariants().breaches(invariant))
          .tag("invariant", invariant.name())
          .register(registry);
    }
  }

  private static void reportBreach(Invariant invariant, String detail) {
    LOGGER.log(Level.ERROR, "invariant {0} does not hold: {1}", invariant, detail);
  }

  /** Binds all listeners and begins to join. */
  public BoundPorts start() {
    InetSocketAddress peerAddress = bindPeers();
    control.start();
    InetSocketAddress caller = requests.callers().start();
    operators = new OperatorListener(context.group(), router());
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
            context.group(),
            LinkSettings.defaults(),
            ControlPlane.identity(context, () -> control),
            linkMetrics,
            context.clock(),
            (head, response) -> requests.upstream().accept(head, response),
            ControlPlane.controlHandlers(() -> control));
    InetSocketAddress address =
        peers.start(new InetSocketAddress(settings.get(ADDRESS), settings.get(PEER_PORT))).join();
    control = new ControlPlane(context, address, linkMetrics);
    requests = new RequestPath(context, control, linkMetrics);
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
    audit =
        new AuditTrail(
            control.platform().interactive(), context.scheduler(), AuditSettings.defaults());
    ApprovalService approvals =
        new ApprovalService(
            new ApprovalEnvironment(
                control.platform().interactive(),
                audit,
                context.scheduler(),
                context.worker(),
                System::currentTimeMillis,
                context.random(),
                control.holder()::current),
            ApprovalSettings.defaults(),
            control.distributor()::published);
    ConfigurationResources configuration =
        new ConfigurationResources(control.holder()::current, control.membership());
    configuration.register(router);
    ApplicationAudit applications =
        new ApplicationAudit(
            configuration,
            audit::record,
            context.scheduler(),
            System::currentTimeMillis,
            () -> UUID.randomUUID().toString());
    new ApprovalResources(approvals, applications::accepted).register(router);
    new UpstreamResource(settings.get(ADDRESS), localUpstream).register(router);
    new HealthResources(this::isReady, context.registry()).register(router);
    return router;
  }

  private boolean isReady() {
    return !stopping && control.holder().current() != HeldConfiguration.EMPTY;
  }

  private void expireAnnouncements() {
    if (!stopping) {
      localUpstream.expire(context.clock().getAsLong());
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
    localUpstream.stop();
    control.stopReading();
    await("announcement of leaving", control.membership().leave(), STEP_LIMIT);
    boolean whole = drain();
    await("audit trail", audit.flush(), STEP_LIMIT);
    close();
    LOGGER.log(Level.INFO, "node {0} stopped; nothing was cut: {1}", context.nodeId(), whole);
    stopped.countDown();
    return whole;
  }

  private boolean drain() {
    Duration limit = settings.get(DRAIN_TIMEOUT).plus(STEP_LIMIT);
    CompletableFuture<Boolean> upstream =
        requests.upstream().beginDrain(context.clock().getAsLong());
    CompletableFuture<Void> streams = peers.beginDrain();
    CompletableFuture<Integer> callers = requests.callers().beginDrain();
    CompletableFuture<Void> operatorCalls = operators.beginDrain();
    boolean whole = await("requests to the upstream", upstream, limit);
    whole &= await("streams of other nodes", streams, limit);
    whole &= await("requests of callers", callers.thenApply(cut -> cut == 0), limit);
    whole &= await("operator calls", operatorCalls, STEP_LIMIT);
    return whole;
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
    audit.close();
    control.close();
    requests.close();
    peers.close();
    operators.close();
    context.worker().shutdown();
    EventLoops.stop(context.group());
    control.endThread();
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
