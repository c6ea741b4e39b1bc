package io.foxtaildoor.connection.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Tracks the longest timeout that callers of each route have sent. A caller that retries a refused
 * request sends a shorter remaining time, so the difference is the time since its first attempt.
 */
public final class CallerTimeoutTracker {
  /**
   * Fraction of the longest timeout by which the timeouts of first attempts differ. A caller that
   * waited for the Retry-After of a refusal has lost more than this.
   */
  private static final double FIRST_ATTEMPT_VARIATION = 0.2;

  private final ConcurrentMap<String, Integer> longestTimeoutMillisByRoute =
      new ConcurrentHashMap<>();

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

  /** Removes the routes that are no longer in the configuration. */
  public void retainRoutes(Set<String> names) {
    longestTimeoutMillisByRoute.keySet().retainAll(names);
  }
}
