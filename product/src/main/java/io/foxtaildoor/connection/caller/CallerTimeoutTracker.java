package io.foxtaildoor.connection.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The longest time that callers of each route were seen to wait. A caller that repeats a refused
 * request has less time left, so the difference tells how long ago it began.
 */
public final class CallerTimeoutTracker {
  /**
   * Part of the longest time by which callers differ at their first try. One that waited as a
   * refusal asked has lost more.
   */
  private static final double FIRST_ATTEMPT_VARIATION = 0.2;

  private final ConcurrentMap<String, Integer> longestTimeoutMillis = new ConcurrentHashMap<>();

  /**
   * Takes the time that a request has left and gives the longest that was seen for its route, in
   * milliseconds.
   */
  int updateLongestTimeout(String route, int remainingMillis) {
    return longestTimeoutMillis.merge(route, remainingMillis, Math::max);
  }

  /** Time since a caller's first try, in milliseconds; 0 when this may be its first try. */
  static int elapsedSinceFirstAttemptMillis(int longestTimeoutMillis, int remainingMillis) {
    int variation = (int) (longestTimeoutMillis * FIRST_ATTEMPT_VARIATION);
    int elapsed = longestTimeoutMillis - remainingMillis;
    return elapsed <= variation ? 0 : elapsed;
  }

  /** Forgets the routes that are no longer in the configuration. */
  public void retainRoutes(Set<String> names) {
    longestTimeoutMillis.keySet().retainAll(names);
  }
}
