package io.foxtaildoor.connection.caller;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Tracks the longest timeout that callers of each route have sent, and whether clients use the
 * route. A caller that retries a refused request sends a shorter remaining time, so the difference
 * is the time since its first attempt.
 */
public final class CallerTimeoutTracker {
  /**
   * Fraction of the longest timeout by which the timeouts of first attempts differ. A caller that
   * waited for the Retry-After of a refusal has lost more than this.
   */
  private static final double FIRST_ATTEMPT_VARIATION = 0.2;

  /** Weight of the latest request in the moving average of a route's requests. */
  private static final double ORIGIN_WEIGHT = 1.0 / 32;

  /**
   * Share of requests that certainly come from clients from which on a route counts as one that
   * clients use. It is low because most requests of clients could also be calls of the upstream on
   * the host.
   */
  private static final double MIN_CLIENT_SHARE = 0.1;

  private final ConcurrentMap<String, Integer> longestTimeoutMillisByRoute =
      new ConcurrentHashMap<>();
  private final ConcurrentMap<String, Double> clientShareByRoute = new ConcurrentHashMap<>();
  private final long startNanos;
  private volatile long longestRunNanos = Long.MAX_VALUE;

  /**
   * Creates a tracker without routes.
   *
   * @param startNanos start of this node in monotonic time
   */
  public CallerTimeoutTracker(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Records the remaining time of a request and returns the longest timeout seen for its route,
   * both in milliseconds.
   */
  int updateLongestTimeout(String route, int remainingMillis) {
    return longestTimeoutMillisByRoute.merge(route, remainingMillis, Math::max);
  }

  /**
   * Returns the time in milliseconds since the caller's first attempt, or 0 if this may be the
   * first attempt.
   */
  static int elapsedSinceFirstAttemptMillis(int longestTimeoutMillis, int remainingMillis) {
    int variation = (int) (longestTimeoutMillis * FIRST_ATTEMPT_VARIATION);
    int elapsed = longestTimeoutMillis - remainingMillis;
    return elapsed <= variation ? 0 : elapsed;
  }

  /**
   * Records a request and returns whether clients use its route. Requests are left out as long as
   * the upstream may still run requests that it received before this node started, because the node
   * does not know those and would take their calls for requests of clients.
   *
   * @param mayBeCall whether the upstream on this host may have made the request, as far as the
   *     node knows what it runs
   */
  boolean updateClientUse(String route, boolean mayBeCall, long nowNanos) {
    if (nowNanos - startNanos < longestRunNanos) {
      return false;
    }
    double certain = mayBeCall ? 0 : 1;
    double share =
        clientShareByRoute.merge(
            route, certain, (mean, latest) -> mean + ORIGIN_WEIGHT * (latest - mean));
    return share >= MIN_CLIENT_SHARE;
  }

  /**
   * Applies a configuration: removes the routes that it no longer has.
   *
   * @param longestDeadline longest deadline of its routes, which no run exceeds
   */
  public void applyConfiguration(Set<String> routeNames, Duration longestDeadline) {
    longestRunNanos = longestDeadline.toNanos();
    longestTimeoutMillisByRoute.keySet().retainAll(routeNames);
    clientShareByRoute.keySet().retainAll(routeNames);
  }
}
