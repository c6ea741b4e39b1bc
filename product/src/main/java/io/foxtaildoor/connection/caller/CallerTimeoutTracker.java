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
  private static final double FIRST_TRY_SPREAD = 0.2;

  private final ConcurrentMap<String, Integer> longestMillis = new ConcurrentHashMap<>();

  /**
   * Takes the time that a request has left and gives the longest that was seen for its route, in
   * milliseconds.
   */
  int longestMillis(String route, int leftMillis) {
    return longestMillis.merge(route, leftMillis, Math::max);
  }

  /** Time since a caller's first try, in milliseconds; 0 when this may be its first try. */
  static int elapsedMillis(int longestMillis, int leftMillis) {
    int spread = (int) (longestMillis * FIRST_TRY_SPREAD);
    int missing = longestMillis - leftMillis;
    return missing <= spread ? 0 : missing;
  }

  /** Forgets the routes that are no longer in the configuration. */
  public void retainRoutes(Set<String> names) {
    longestMillis.keySet().retainAll(names);
  }
}
