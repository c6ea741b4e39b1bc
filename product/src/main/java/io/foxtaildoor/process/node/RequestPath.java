package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADDRESS;
import static io.foxtaildoor.process.settings.NodeSettings.CALLER_ENDPOINT;
import static io.foxtaildoor.process.settings.NodeSettings.CALLER_PORT;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;
import static io.foxtaildoor.process.settings.NodeSettings.DRAIN_TIMEOUT;
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
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.request.idempotency.KeyedRequestTable;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryPolicy;
import io.foxtaildoor.version.manifest.HeldConfiguration;
import io.foxtaildoor.version.routing.Route;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/** The way of a request through one node: from callers to links and from links to the upstream. */
final class RequestPath {
  /** Keyed requests with an unknown outcome that the caller's side remembers. */
  private static final int KEYED_REQUESTS = 20_000;

  /** Part of the file descriptors that callers may use. */
  private static final double CALLERS_SHARE = 0.75;

  /** Short beside the objectives of requests, and 20 wake-ups a second. */
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

  private final CallerListener callers;
  private final UpstreamServer upstream;
  private final NettyLinkClient links;

  /** Creates the parts without starting them. */
  RequestPath(
      NodeContext context, ControlPlane control, LinkMetrics linkMetrics, RequestProfile profile) {
    Settings settings = context.settings();
    links =
        new NettyLinkClient(
            context.group(),
            profile.links(),
            control.identity(),
            linkMetrics,
            context.invariants(),
            context.clock(),
            context.random());
    RetryBudgets budgets = retryBudgets(context, control.membership(), profile);
    upstream =
        new UpstreamServer(
            context.group(),
            profile.upstream(),
            service -> control.holder().current().routes().service(service),
            context.invariants(),
            context.registry(),
            new CountedRuns(budgets),
            context.clock());
    LinkClient streams = new LocalLinkClient(context.nodeId(), upstream, links, context.group());
    UpstreamSelector selector =
        new UpstreamSelector(profile.balance(), settings.get(REGION), settings.get(DATA_CENTRE));
    CallerTimeoutTracker patience = new CallerTimeoutTracker();
    EventLoopGuard guard = new EventLoopGuard();
    sampleProcessor(context, guard, context.clock().getAsLong());
    context
        .registry()
        .gauge("foxtaildoor.processor.delay.ms", guard, EventLoopGuard::meanDelayMillis);
    callers =
        new CallerListener(
            callerSettings(settings),
            new CallerDependencies(
                profile.callers(),
                patience,
                new RequestLog(),
                guard,
                control.holder()::current,
                control.membership(),
                streams,
                selector,
                new RetryPolicy(profile.retries().get()),
                budgets,
                new KeyedRequestTable(KEYED_REQUESTS),
                context.invariants(),
                new CallerMetrics(context.registry()),
                context.clock(),
                ThreadLocalRandom::current),
            context.group());
    logRetries(context, budgets, control.membership());
    control.holder().addListener(callers::configurationApplied);
    control.holder().addListener(configuration -> patience.retainRoutes(routeNames(configuration)));
  }

  /** Tells the retry budgets of the runs of the local upstream. */
  private record CountedRuns(RetryBudgets budgets) implements UpstreamRequestListener {
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
        profile.retries(), now -> profile.floors().of(fleet, now), context.clock().getAsLong());
  }

  private void logRetries(NodeContext context, RetryBudgets budgets, FleetView fleet) {
    new RetryLog(budgets, upstream::arrivals, fleet, context.scheduler(), context.registry())
        .start();
  }

  private static Set<String> routeNames(HeldConfiguration configuration) {
    return configuration.routes().routes().stream().map(Route::name).collect(Collectors.toSet());
  }

  /** Samples the delay of the event loop again and again. */
  private static void sampleProcessor(NodeContext context, EventLoopGuard guard, long dueNanos) {
    context
        .scheduler()
        .schedule(
            SAMPLE_INTERVAL.toNanos(),
            () -> {
              long now = context.clock().getAsLong();
              guard.recordDelay(now - dueNanos - SAMPLE_INTERVAL.toNanos());
              sampleProcessor(context, guard, now);
            });
  }

  private static CallerSettings callerSettings(Settings settings) {
    CallerSettings standard = CallerSettings.defaults();
    return new CallerSettings(
        settings
            .get(CALLER_ENDPOINT)
            .orElseGet(
                () -> new InetSocketAddress(settings.get(ADDRESS), settings.get(CALLER_PORT))),
        maxConnections(settings),
        standard.maxRequestLineBytes(),
        standard.maxHeaderBytes(),
        standard.headTimeout(),
        standard.idleTimeout(),
        standard.maxReplayBytes(),
        standard.maxTotalReplayBytes(),
        standard.drainIdleDelay(),
        settings.get(DRAIN_TIMEOUT));
  }

  /** Leaves descriptors for links, the upstream and the platform. */
  private static int maxConnections(Settings settings) {
    int wanted = settings.get(MAX_CALLER_CONNECTIONS);
    return settings
        .get(MAX_DESCRIPTORS)
        .map(descriptors -> Math.min(wanted, (int) (descriptors * CALLERS_SHARE)))
        .orElse(wanted);
  }

  CallerListener callers() {
    return callers;
  }

  UpstreamServer upstream() {
    return upstream;
  }

  /** Closes what is left of all connections. */
  void close() {
    callers.close();
    links.close();
    upstream.close();
  }
}
