package io.foxtaildoor.request.retry;

import java.time.Duration;

/**
 * This node's part of the retry floor, the number of retries that the whole fleet may make whatever
 * the number of requests.
 *
 * <p>A node that has just started has no part: its previous process may have spent the part of this
 * window, and the fleet is not known yet. A node that knows no other node has none either, because
 * it cannot tell a fleet of one node from a fleet that it is cut off from.
 */
public final class NodeRetryFloor {
  private final long startedNanos;

  /** Creates the floor of a process that starts now. */
  public NodeRetryFloor(long nowNanos) {
    startedNanos = nowNanos;
  }

  /**
   * Returns the number of retries of each service that this node may make in a window.
   *
   * @param fleetFloor number of retries of each service that the whole fleet may make in a window
   * @param knownNodes number of known nodes, including this node and nodes that ended recently
   */
  public double retriesPerWindow(
      double fleetFloor, int knownNodes, Duration window, long nowNanos) {
    boolean recentlyStarted = nowNanos - startedNanos < window.toNanos();
    return recentlyStarted || knownNodes < 2 ? 0 : fleetFloor / knownNodes;
  }
}
