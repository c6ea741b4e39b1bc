package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADMISSION_MODE;
import static io.foxtaildoor.process.settings.NodeSettings.DRAIN_TIMEOUT;
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
 * What differs on the way of a request between platforms.
 *
 * @param retries limits of retries, which a reload may change
 * @param floors retries that this node may make in the window whatever its requests
 */
record RequestProfile(
    CallerProtocol callers,
    Supplier<RetrySettings> retries,
    FloorRule floors,
    BalanceSettings balance,
    UpstreamSettings upstream,
    LinkSettings links) {
  /**
   * Part of the fleet's retry budget that is used; the rest covers repeats that arrive later than
   * they were sent, and the error of the calls that repeated runs are charged.
   */
  private static final double BUDGET_USE = 0.8;

  /**
   * Part of the retries that need no requests. They do not grow with the requests, so along a chain
   * the calls of a repeated run may use a multiple of them.
   */
  private static final double FLOOR_USE = 0.25;

  /** Attempts of one request, refusals of other nodes included. */
  private static final int MAX_ATTEMPTS = 4;

  /** Wait that refusals ask for; a shorter one meets the same surge again. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(700);

  /** A slot of a busy instance becomes free about as often. */
  private static final Duration REFUSAL_HOLD = Duration.ofMillis(30);

  /** The news that a node is leaving or dead takes about as long. */
  private static final Duration ABSENCE_HOLD = Duration.ofMillis(300);

  /** Requests wait for about as long; a busy link is rarely silent for this time. */
  private static final Duration PING_AFTER = Duration.ofMillis(250);

  /** A caller that is left waiting gives up after about as long; busy nodes answer sooner. */
  private static final Duration PING_TIMEOUT = Duration.ofMillis(800);

  /** Leaves time for another instance within the usual deadline of a second or more. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** A starting instance is slow for some seconds; see the reports of the instance. */
  static final Duration SLOW_START = Duration.ofSeconds(3);

  /** Gives a node's part of the retries that need no requests. */
  @FunctionalInterface
  interface FloorRule {
    /** Retries of each service in a window, at the present time. */
    double of(FleetView fleet, long nowNanos);
  }

  /** The product's own interface. */
  static RequestProfile standard(Settings settings, LiveSettings live) {
    Supplier<RetrySettings> retries =
        renewed(() -> live.get(RETRY_BUDGET_PERCENT), RequestProfile::retrySettings);
    return new RequestProfile(
        CallerProtocol.STANDARD,
        retries,
        (fleet, now) -> retries.get().budgetFloor(),
        BalanceSettings.defaults().withSelectionMode(settings.get(SELECTION_MODE)),
        upstreamSettings(settings),
        LinkSettings.defaults());
  }

  /** A managed platform, whose retry budget all nodes share. */
  static RequestProfile managed(
      Settings settings, LiveSettings live, PlatformAdapter adapter, long nowNanos) {
    Supplier<DeploymentBounds> bounds = renewed(() -> live.get(PLATFORM_BOUNDS), adapter::bounds);
    Supplier<RetrySettings> retries = renewed(bounds, RequestProfile::retrySettings);
    UpstreamSettings upstream = upstreamSettings(settings);
    NodeRetryFloor floor = new NodeRetryFloor(nowNanos);
    return new RequestProfile(
        new CallerProtocol(adapter.headers(), settings.get(UPSTREAM_SERVICE), RETRY_AFTER),
        retries,
        (fleet, now) ->
            floor.retriesPerWindow(
                bounds.get().retryFloor() * FLOOR_USE,
                fleet.nodes().size(),
                bounds.get().retryWindow(),
                now),
        BalanceSettings.defaults()
            .withSelectionMode(settings.get(SELECTION_MODE))
            .withSlowStartAndCooldowns(SLOW_START, REFUSAL_HOLD, ABSENCE_HOLD),
        upstream.forManagedInstances(adapter.headers()),
        managedLinks());
  }

  private record Derived<T, R>(T from, R value) {}

  private static LinkSettings managedLinks() {
    LinkSettings standard = LinkSettings.defaults();
    return standard
        .withPings(PING_AFTER, standard.idlePingInterval(), PING_TIMEOUT)
        .withConnectTimeoutAndBackoff(
            CONNECT_TIMEOUT, standard.backoffBase(), standard.backoffMax());
  }

  /** Applies a function to a source's value, once for each new value. */
  private static <T, R> Supplier<R> renewed(Supplier<T> source, Function<T, R> function) {
    AtomicReference<Derived<T, R>> last = new AtomicReference<>();
    return () -> {
      T from = source.get();
      Derived<T, R> known = last.get();
      if (known == null || !known.from().equals(from)) {
        known = new Derived<>(from, function.apply(from));
        last.set(known);
      }
      return known.value();
    };
  }

  private static RetrySettings retrySettings(int budgetPercent) {
    RetrySettings standard = RetrySettings.defaults();
    return new RetrySettings(
        standard.maxAttempts(),
        standard.minRemaining(),
        budgetPercent / 100.0,
        standard.budgetFloor(),
        standard.budgetWindow(),
        standard.refusalsBypassBudget(),
        standard.isPaced());
  }

  private static RetrySettings retrySettings(DeploymentBounds bounds) {
    return new RetrySettings(
        MAX_ATTEMPTS,
        RetrySettings.defaults().minRemaining(),
        bounds.retryShare() * BUDGET_USE,
        0,
        bounds.retryWindow(),
        true,
        true);
  }

  private static UpstreamSettings upstreamSettings(Settings settings) {
    UpstreamSettings standard = UpstreamSettings.defaults();
    return new UpstreamSettings(
        standard.connectTimeout(),
        standard.progressTimeout(),
        standard.continueTimeout(),
        standard.idleTimeout(),
        settings.get(DRAIN_TIMEOUT),
        standard.bufferedResponseBytes(),
        standard.headers(),
        standard.maxRequestBytes(),
        standard.maxResponseBytes(),
        standard.admission().withMode(settings.get(ADMISSION_MODE)),
        standard.keys());
  }
}
