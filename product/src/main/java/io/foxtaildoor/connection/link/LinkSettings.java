package io.foxtaildoor.connection.link;

import java.time.Duration;

/**
 * Settings of the links and control connections between nodes.
 *
 * @param linksPerNode maximum request links in use to one other node
 * @param maxLinks maximum request links to all other nodes together
 * @param maxAcceptedConnections maximum connections accepted from other nodes
 * @param maxStreamsPerLink maximum open streams on one link
 * @param connectTimeout timeout for connecting and, separately, for the handshake
 * @param pingInterval time without received frames after which a link with open streams is pinged;
 *     also the period of the check
 * @param idlePingInterval time without received frames after which a link without streams is pinged
 * @param pingTimeout time after which a link with an unanswered ping is reset
 * @param idleTimeout time without an open stream, or on an accepted control connection without a
 *     frame, after which it is closed
 * @param backoffBase maximum delay after the first failed connection attempt
 * @param backoffMax maximum delay between two connection attempts
 * @param controlDeadline deadline of one control call, from its submission
 * @param maxControlConnections maximum connections for control calls to all other nodes together
 * @param maxWaitingControlCalls maximum control calls that wait for a connection
 */
public record LinkSettings(
    int linksPerNode,
    int maxLinks,
    int maxAcceptedConnections,
    int maxStreamsPerLink,
    Duration connectTimeout,
    Duration pingInterval,
    Duration idlePingInterval,
    Duration pingTimeout,
    Duration idleTimeout,
    Duration backoffBase,
    Duration backoffMax,
    Duration controlDeadline,
    int maxControlConnections,
    int maxWaitingControlCalls) {

  /** Returns the default settings, sized for the deployments described in the design document. */
  public static LinkSettings defaults() {
    return new LinkSettings(
        1,
        4096,
        16384,
        4096,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(60),
        Duration.ofMillis(100),
        Duration.ofSeconds(5),
        Duration.ofSeconds(2),
        32,
        1024);
  }

  /** Returns a copy with other ping intervals and another ping timeout. */
  public LinkSettings withPings(Duration interval, Duration idleInterval, Duration timeout) {
    return new LinkSettings(
        linksPerNode,
        maxLinks,
        maxAcceptedConnections,
        maxStreamsPerLink,
        connectTimeout,
        interval,
        idleInterval,
        timeout,
        idleTimeout,
        backoffBase,
        backoffMax,
        controlDeadline,
        maxControlConnections,
        maxWaitingControlCalls);
  }

  /** Returns a copy with other limits of control calls. */
  public LinkSettings withControlLimits(
      Duration deadline, int maxConnections, int maxWaitingCalls) {
    return new LinkSettings(
        linksPerNode,
        maxLinks,
        maxAcceptedConnections,
        maxStreamsPerLink,
        connectTimeout,
        pingInterval,
        idlePingInterval,
        pingTimeout,
        idleTimeout,
        backoffBase,
        backoffMax,
        deadline,
        maxConnections,
        maxWaitingCalls);
  }

  /** Returns a copy with another connect timeout and reconnect backoff. */
  public LinkSettings withConnectTimeoutAndBackoff(Duration timeout, Duration base, Duration max) {
    return new LinkSettings(
        linksPerNode,
        maxLinks,
        maxAcceptedConnections,
        maxStreamsPerLink,
        timeout,
        pingInterval,
        idlePingInterval,
        pingTimeout,
        idleTimeout,
        base,
        max,
        controlDeadline,
        maxControlConnections,
        maxWaitingControlCalls);
  }
}
