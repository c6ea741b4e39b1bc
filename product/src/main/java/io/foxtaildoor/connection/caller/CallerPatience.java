package io.foxtaildoor.connection.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The longest time that callers of each route were seen to wait. A caller that repeats a refused
 * request has less time left, so the difference tells how long ago it began.
 */
public final class CallerPatience {
  private final ConcurrentMap<String, Integer> longestMillis = new ConcurrentHashMap<>();

  /**
   * Takes the time that a request has left and gives the longest that was seen for its route, in
   * milliseconds.
   */
  int longestMillis(String route, int leftMillis) {
    return longestMillis.merge(route, leftMillis, Math::max);
  }

  /** Forgets the routes that are no longer in the configuration. */
  public void retainRoutes(Set<String> names) {
    longestMillis.keySet().retainAll(names);
  }
}
