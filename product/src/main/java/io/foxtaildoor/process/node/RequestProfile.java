package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADMISSION_MODE;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_BOUNDS;
import static io.foxtaildoor.process.settings.NodeSettings.RETRY_BUDGET_PERCENT;
import static io.foxtaildoor.process.settings.NodeSettings.SELECTION_MODE;
import static io.foxtaildoor.process.settings.NodeSettings.UPSTREAM_SERVICE;

import io.foxtaildoor.connection.caller.CallerProtocol;
import io.foxtaildoor.connection.link.LinkSettings;
import io.foxtaildoor.connection.upstream.UpstreamSettings;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.platform.DeploymentBounds;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.settings.LiveSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.request.balance.BalanceSettings;
import io.foxtaildoor.request.retry.NodeRetryFloor;
import io.foxtaildoor.request.retry.RetrySettings;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Settings for handling requests that differ between platforms.
 *
 * @param retries retry limits, which a reload may change
 * @param retryFloor retries that this node may make in the budget window regardless of its number
 *     of requests
 */
record RequestProfile(
    CallerProtocol callers,
    Supplier<RetrySettings> retries,
    RetryFloor retryFloor,
    BalanceSettings balance,
    UpstreamSettings upstream,
    LinkSettings links) {
  /**
   * Share of the fleet's retry budget that is used. The rest covers repeats that arrive in a later
   * window than they were sent in, and the error of the estimated number of calls that are charged
   * for repeated runs.
   */
  private static final double USED_BUDGET_SHARE = 0.8;

  /**
   * Share of the platform's retry floor that is used. The floor does not grow with the number of
   * requests, so along a chain of services the calls of a repeated run may use a multiple of it.
   */
  private static final double USED_FLOOR_SHARE = 0.25;

  /** Maximum number of attempts for one request, including attempts that other nodes refuse. */
  private static final int MAX_ATTEMPTS = 4;

  /**
   * Delay that a refusal asks the caller to wait. After a shorter delay the retry would arrive
   * during the same load peak.
   */
  private static final Duration RETRY_AFTER = Duration.ofMillis(700);

  /**
   * Time for which an instance that refused a request is skipped. A busy instance frees a slot
   * about this often.
   */
  private static final Duration REFUSAL_COOLDOWN = Duration.ofMillis(30);

  /**
   * Time for which an instance that is leaving or unreachable is skipped. Membership takes about
   * this long to spread that a node is leaving or dead.
   */
  private static final Duration UNREACHABLE_COOLDOWN = Duration.ofMillis(300);

  /**
   * Silence after which a link with open streams is pinged. Requests wait about this long, and a
   * busy link is rarely silent for this time.
   */
  private static final Duration PING_INTERVAL = Duration.ofMillis(250);

  /**
   * Time after which an unanswered ping resets a link. A waiting caller gives up after about this
   * time, and even busy nodes answer pings sooner.
   */
  private static final Duration PING_TIMEOUT = Duration.ofMillis(800);

  /**
   * Leaves time to try another instance within the usual request deadline of one second or more.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /**
   * Time for which an instance responds slowly after its start; its reports state how much of this
   * time remains.
   */
  static final Duration SLOW_START = Duration.ofSeconds(3);

  /**
   * Computes a node's share of the retries that are allowed regardless of the number of requests.
   */
  @FunctionalInterface
  interface RetryFloor {
    /**
     * Returns the retries to each service that this node may make in a budget window, at the given
     * time.
     */
    double retriesPerWindow(FleetView fleet, long nowNanos);
  }

  /** Returns the profile for a platform with the product's own interface. */
  static RequestProfile standard(Settings settings, LiveSettings live) {
    Supplier<RetrySettings> retries =
        memoized(() -> live.get(RETRY_BUDGET_PERCENT), RequestProfile::retrySettings);
    return new RequestProfile(
        CallerProtocol.STANDARD,
        retries,
        (fleet, now) -> retries.get().budgetFloor(),
        BalanceSettings.defaults().withSelectionMode(settings.get(SELECTION_MODE)),
        upstreamSettings(settings),
        LinkSettings.defaults());
  }

  /** Returns the profile for a managed platform, on which all nodes share one retry budget. */
  static RequestProfile managed(
      Settings settings, LiveSettings live, PlatformAdapter adapter, long nowNanos) {
    Supplier<DeploymentBounds> bounds =
        memoized(() -> live.get(PLATFORM_BOUNDS), adapter::parseBounds);
    Supplier<RetrySettings> retries = memoized(bounds, RequestProfile::retrySettings);
    UpstreamSettings upstream = upstreamSettings(settings);
    NodeRetryFloor nodeFloor = new NodeRetryFloor(nowNanos);
    return new RequestProfile(
        new CallerProtocol(adapter.headerDialect(), settings.get(UPSTREAM_SERVICE), RETRY_AFTER),
        retries,
        (fleet, now) ->
            nodeFloor.retriesPerWindow(
                bounds.get().minRetries() * USED_FLOOR_SHARE,
                fleet.nodes().size(),
                bounds.get().retryWindow(),
                now),
        BalanceSettings.defaults()
            .withSelectionMode(settings.get(SELECTION_MODE))
            .withSlowStartAndCooldowns(SLOW_START, REFUSAL_COOLDOWN, UNREACHABLE_COOLDOWN),
        upstream.forManagedInstances(adapter.headerDialect()),
        managedLinks());
  }

  private record Memoized<T, R>(T input, R value) {}

  private static LinkSettings managedLinks() {
    LinkSettings defaults = LinkSettings.defaults();
    return defaults
        .withPings(PING_INTERVAL, defaults.idlePingInterval(), PING_TIMEOUT)
        .withConnectTimeoutAndBackoff(
            CONNECT_TIMEOUT, defaults.backoffBase(), defaults.backoffMax());
  }

  /**
   * Returns a supplier that applies a function to the source's value, and reuses the result until
   * the source's value changes.
   */
  private static <T, R> Supplier<R> memoized(Supplier<T> source, Function<T, R> function) {
    AtomicReference<Memoized<T, R>> cache = new AtomicReference<>();
    return () -> {
      T input = source.get();
      Memoized<T, R> cached = cache.get();
      if (cached == null || !cached.input().equals(input)) {
        cached = new Memoized<>(input, function.apply(input));
        cache.set(cached);
      }
      return cached.value();
    };
  }

  private static RetrySettings retrySettings(int budgetPercent) {
    RetrySettings defaults = RetrySettings.defaults();
    return new RetrySettings(
        defaults.maxAttempts(),
        defaults.minRemaining(),
        budgetPercent / 100.0,
        defaults.budgetFloor(),
        defaults.budgetWindow(),
        defaults.refusalsBypassBudget(),
        defaults.isPaced());
  }

  private static RetrySettings retrySettings(DeploymentBounds bounds) {
    return new RetrySettings(
        MAX_ATTEMPTS,
        RetrySettings.defaults().minRemaining(),
        bounds.retryRatio() * USED_BUDGET_SHARE,
        0,
        bounds.retryWindow(),
        true,
        true);
  }

  private static UpstreamSettings upstreamSettings(Settings settings) {
    UpstreamSettings defaults = UpstreamSettings.defaults();
    return new UpstreamSettings(
        defaults.connectTimeout(),
        defaults.progressTimeout(),
        defaults.continueTimeout(),
        defaults.idleTimeout(),
        defaults.bufferedResponseBytes(),
        defaults.headers(),
        defaults.maxRequestBytes(),
        defaults.maxResponseBytes(),
        defaults.admission().withMode(settings.get(ADMISSION_MODE)),
        defaults.keys());
  }
}
