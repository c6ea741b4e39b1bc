package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADMISSION;
import static io.foxtaildoor.process.settings.NodeSettings.DRAIN_TIMEOUT;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_BOUNDS;
import static io.foxtaildoor.process.settings.NodeSettings.RETRY_BUDGET_PERCENT;
import static io.foxtaildoor.process.settings.NodeSettings.SELECTION;
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
import io.foxtaildoor.request.retry.FloorShare;
import io.foxtaildoor.request.retry.RetrySettings;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What differs on the way of a request between platforms.
 *
 * @param retries limits of retries, which a reload may change
 * @param retryFloor retries that this node may make in the window whatever its requests
 */
record RequestProfile(
    CallerProtocol callers,
    Supplier<RetrySettings> retries,
    RetryFloor retryFloor,
    BalanceSettings balance,
    UpstreamSettings upstream,
    LinkSettings links) {
  /**
   * Part of the fleet's retry budget that is used; the rest covers repeats that arrive later than
   * they were sent, and the error of the calls that repeated runs are charged.
   */
  private static final double USED_BUDGET_SHARE = 0.8;

  /**
   * Part of the retries that need no requests. They do not grow with the requests, so along a chain
   * the calls of a repeated run may use a multiple of them.
   */
  private static final double USED_FLOOR_SHARE = 0.25;

  /** Attempts of one request, refusals of other nodes included. */
  private static final int MAX_ATTEMPTS = 4;

  /** Wait that refusals ask for; a shorter one meets the same surge again. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(700);

  /** A slot of a busy instance becomes free about as often. */
  private static final Duration REFUSAL_COOLDOWN = Duration.ofMillis(30);

  /** The news that a node is leaving or dead takes about as long. */
  private static final Duration UNREACHABLE_COOLDOWN = Duration.ofMillis(300);

  /** Requests wait for about as long; a busy link is rarely silent for this time. */
  private static final Duration PING_INTERVAL = Duration.ofMillis(250);

  /** A caller that is left waiting gives up after about as long; busy nodes answer sooner. */
  private static final Duration PING_TIMEOUT = Duration.ofMillis(800);

  /** Leaves time for another instance within the usual deadline of a second or more. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** A starting instance is slow for some seconds; see the reports of the instance. */
  static final Duration SLOW_START = Duration.ofSeconds(3);

  /** Gives a node's part of the retries that need no requests. */
  @FunctionalInterface
  interface RetryFloor {
    /** Retries of each service in a window, at the present time. */
    double retriesPerWindow(FleetView fleet, long nowNanos);
  }

  /** The product's own interface. */
  static RequestProfile standard(Settings settings, LiveSettings live) {
    Supplier<RetrySettings> retries =
        memoized(() -> live.get(RETRY_BUDGET_PERCENT), RequestProfile::retrySettings);
    return new RequestProfile(
        CallerProtocol.STANDARD,
        retries,
        (fleet, now) -> retries.get().budgetFloor(),
        BalanceSettings.defaults().withSelection(settings.get(SELECTION)),
        upstreamSettings(settings),
        LinkSettings.defaults());
  }

  /** A managed platform, whose retry budget all nodes share. */
  static RequestProfile managed(
      Settings settings, LiveSettings live, PlatformAdapter adapter, long nowNanos) {
    Supplier<DeploymentBounds> bounds = memoized(() -> live.get(PLATFORM_BOUNDS), adapter::bounds);
    Supplier<RetrySettings> retries = memoized(bounds, RequestProfile::retrySettings);
    UpstreamSettings upstream = upstreamSettings(settings);
    FloorShare floorShare = new FloorShare(nowNanos);
    return new RequestProfile(
        new CallerProtocol(adapter.headers(), settings.get(UPSTREAM_SERVICE), RETRY_AFTER),
        retries,
        (fleet, now) ->
            floorShare.of(
                bounds.get().retryFloor() * USED_FLOOR_SHARE,
                fleet.nodes().size(),
                bounds.get().retryWindow(),
                now),
        BalanceSettings.defaults()
            .withSelection(settings.get(SELECTION))
            .withSkips(SLOW_START, REFUSAL_COOLDOWN, UNREACHABLE_COOLDOWN),
        upstream.withManaged(adapter.headers()),
        managedLinks());
  }

  private record Memoized<T, R>(T input, R value) {}

  private static LinkSettings managedLinks() {
    LinkSettings defaults = LinkSettings.defaults();
    return defaults
        .withPings(PING_INTERVAL, defaults.idlePingInterval(), PING_TIMEOUT)
        .withConnecting(CONNECT_TIMEOUT, defaults.backoffBase(), defaults.backoffMax());
  }

  /** Applies a function to a source's value, once for each new value. */
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
        defaults.refusalsAreFree(),
        defaults.isSpread());
  }

  private static RetrySettings retrySettings(DeploymentBounds bounds) {
    return new RetrySettings(
        MAX_ATTEMPTS,
        RetrySettings.defaults().minRemaining(),
        bounds.retryShare() * USED_BUDGET_SHARE,
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
        settings.get(DRAIN_TIMEOUT),
        defaults.heldAnswerBytes(),
        defaults.headers(),
        defaults.maxRequestBytes(),
        defaults.maxAnswerBytes(),
        defaults.admission().withMode(settings.get(ADMISSION)),
        defaults.keys());
  }
}
