package io.foxtaildoor.request.retry;

import java.time.Duration;

/**
 * This node's part of the retries that the fleet may make whatever the requests.
 *
 * <p>A node that has just started has none: its former process may have spent the part of this
 * window, and the fleet is not known yet. Nor has a node that knows no other, since it cannot tell
 * a fleet of one from a fleet that it is cut off from.
 */
public final class NodeRetryFloor {
  private final long startedNanos;

  /** Creates the share of a process that starts now. */
  public NodeRetryFloor(long nowNanos) {
    startedNanos = nowNanos;
  }

  /**
   * Retries of each service that this node may make in a window.
   *
   * @param fleetFloor those of the whole fleet
   * @param knownNodes nodes that are known, this one and those that ended lately included
   */
  public double retriesPerWindow(
      double fleetFloor, int knownNodes, Duration window, long nowNanos) {
    boolean young = nowNanos - startedNanos < window.toNanos();
    return young || knownNodes < 2 ? 0 : fleetFloor / knownNodes;
  }
}
