package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADDRESS;
import static io.foxtaildoor.process.settings.NodeSettings.CALLER_ENDPOINT;
import static io.foxtaildoor.process.settings.NodeSettings.CALLER_PORT;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;
import static io.foxtaildoor.process.settings.NodeSettings.MAX_CALLER_CONNECTIONS;
import static io.foxtaildoor.process.settings.NodeSettings.MAX_DESCRIPTORS;
import static io.foxtaildoor.process.settings.NodeSettings.REGION;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.caller.CallerDependencies;
import io.foxtaildoor.connection.caller.CallerListener;
import io.foxtaildoor.connection.caller.CallerMetrics;
import io.foxtaildoor.connection.caller.CallerSettings;
import io.foxtaildoor.connection.caller.CallerTimeoutTracker;
import io.foxtaildoor.connection.caller.RequestLog;
import io.foxtaildoor.connection.link.LinkClient;
import io.foxtaildoor.connection.link.LinkMetrics;
import io.foxtaildoor.connection.link.LocalLinkClient;
import io.foxtaildoor.connection.link.NettyLinkClient;
import io.foxtaildoor.connection.upstream.UpstreamRequestListener;
import io.foxtaildoor.connection.upstream.UpstreamServer;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.request.admission.EventLoopGuard;
import io.foxtaildoor.request.admission.StopAdmission;
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.request.idempotency.KeyedRequestTable;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryPolicy;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.routing.Route;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/**
 * The request path of one node: from callers to links to other nodes, and from links to the local
 * upstream.
 */
final class RequestPath {
  /**
   * Maximum number of requests with an idempotency key and an unknown outcome that the caller's
   * node remembers.
   */
  private static final int MAX_KEYED_REQUESTS = 20_000;

  /** Share of the file descriptors that connections of callers may use. */
  private static final double CALLER_DESCRIPTOR_SHARE = 0.75;

  /**
   * Time between two samples of the event loop delay. It is short compared with the latency
   * objectives of requests, and costs only 20 wake-ups per second.
   */
  private static final Duration DELAY_SAMPLE_INTERVAL = Duration.ofMillis(50);

  private final CallerListener callers;
  private final UpstreamServer upstream;
  private final NettyLinkClient links;
  private final StopAdmission stopAdmission = new StopAdmission();

  /** Creates the components without starting them. */
  RequestPath(
      NodeContext context, ControlPlane control, LinkMetrics linkMetrics, RequestProfile profile) {
    Settings settings = context.settings();
    links =
        new NettyLinkClient(
            context.eventLoops(),
            profile.links(),
            control.identity(),
            linkMetrics,
            context.invariants(),
            context.clock(),
            context.random());
    RetryBudgets budgets = retryBudgets(context, control.membership(), profile);
    upstream =
        new UpstreamServer(
            context.eventLoops(),
            profile.upstream(),
            service -> control.holder().current().routes().service(service),
            context.invariants(),
            context.registry(),
            new BudgetRunListener(budgets),
            context.clock());
    LinkClient localLinks =
        new LocalLinkClient(context.nodeId(), upstream, links, context.eventLoops());
    UpstreamSelector selector =
        new UpstreamSelector(profile.balance(), settings.get(REGION), settings.get(DATA_CENTRE));
    CallerTimeoutTracker timeoutTracker = new CallerTimeoutTracker(context.clock().getAsLong());
    EventLoopGuard guard = new EventLoopGuard();
    sampleEventLoopDelay(context, guard, context.clock().getAsLong());
    context
        .registry()
        .gauge("foxtaildoor.processor.delay.ms", guard, EventLoopGuard::meanDelayMillis);
    callers =
        new CallerListener(
            callerSettings(settings),
            new CallerDependencies(
                profile.callers(),
                timeoutTracker,
                new RequestLog(),
                guard,
                stopAdmission,
                control.holder()::current,
                control.membership(),
                localLinks,
                selector,
                new RetryPolicy(profile.retries().get()),
                budgets,
                new KeyedRequestTable(MAX_KEYED_REQUESTS),
                context.invariants(),
                new CallerMetrics(context.registry()),
                context.clock(),
                ThreadLocalRandom::current),
            context.eventLoops());
    startRetryReports(context, budgets, control.membership());
    control.holder().addListener(callers::configurationApplied);
    control.holder().addListener(configuration -> updateRoutes(timeoutTracker, configuration));
  }

  private static void updateRoutes(
      CallerTimeoutTracker tracker, ConfigurationSnapshot configuration) {
    tracker.applyConfiguration(routeNames(configuration), longestDeadline(configuration));
  }

  /** Reports the requests that the local upstream executes to the retry budgets. */
  private record BudgetRunListener(RetryBudgets budgets) implements UpstreamRequestListener {
    @Override
    public void requestStarted(long deadlineNanos) {
      budgets.recordRunStart(deadlineNanos);
    }

    @Override
    public void requestFinished(
        ServiceId service, double repeatShare, boolean idempotent, long nowNanos) {
      budgets.recordRunEnd(service, repeatShare, idempotent, nowNanos);
    }
  }

  private static RetryBudgets retryBudgets(
      NodeContext context, FleetView fleet, RequestProfile profile) {
    return new RetryBudgets(
        profile.retries(),
        now -> profile.retryFloor().retriesPerWindow(fleet, now),
        context.clock().getAsLong());
  }

  private void startRetryReports(NodeContext context, RetryBudgets budgets, FleetView fleet) {
    new RetryReporter(budgets, upstream::arrivals, fleet, context.scheduler(), context.registry())
        .start();
  }

  private static Duration longestDeadline(ConfigurationSnapshot configuration) {
    return configuration.routes().routes().stream()
        .map(Route::deadline)
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  private static Set<String> routeNames(ConfigurationSnapshot configuration) {
    return configuration.routes().routes().stream().map(Route::name).collect(Collectors.toSet());
  }

  /** Schedules the next sample of the event loop delay; each sample schedules its successor. */
  private static void sampleEventLoopDelay(
      NodeContext context, EventLoopGuard guard, long dueNanos) {
    context
        .scheduler()
        .schedule(
            DELAY_SAMPLE_INTERVAL.toNanos(),
            () -> {
              long now = context.clock().getAsLong();
              guard.recordDelay(now - dueNanos - DELAY_SAMPLE_INTERVAL.toNanos());
              sampleEventLoopDelay(context, guard, now);
            });
  }

  private static CallerSettings callerSettings(Settings settings) {
    CallerSettings defaults = CallerSettings.defaults();
    return new CallerSettings(
        settings
            .get(CALLER_ENDPOINT)
            .orElseGet(
                () -> new InetSocketAddress(settings.get(ADDRESS), settings.get(CALLER_PORT))),
        maxConnections(settings),
        defaults.maxRequestLineBytes(),
        defaults.maxHeaderBytes(),
        defaults.headTimeout(),
        defaults.idleTimeout(),
        defaults.maxReplayBytes(),
        defaults.maxTotalReplayBytes(),
        defaults.drainIdleDelay());
  }

  /**
   * Limits the connections of callers so that file descriptors are left for links, the upstream and
   * the platform.
   */
  private static int maxConnections(Settings settings) {
    int configured = settings.get(MAX_CALLER_CONNECTIONS);
    return settings
        .get(MAX_DESCRIPTORS)
        .map(descriptors -> Math.min(configured, (int) (descriptors * CALLER_DESCRIPTOR_SHARE)))
        .orElse(configured);
  }

  CallerListener callers() {
    return callers;
  }

  UpstreamServer upstream() {
    return upstream;
  }

  /** Decides which requests are still accepted while the node stops. */
  StopAdmission stopAdmission() {
    return stopAdmission;
  }

  /** Closes all remaining connections. */
  void close() {
    callers.close();
    links.close();
    upstream.close();
  }
}
