package io.foxtaildoor.connection.link;

import java.time.Duration;

/**
 * Settings of the links between nodes.
 *
 * @param linksPerNode request links to one other node
 * @param maxLinks request links to all other nodes together
 * @param maxAcceptedConnections connections accepted from other nodes
 * @param maxStreamsPerLink open streams on one link
 * @param connectTimeout bound for connecting and for the handshake
 * @param pingInterval silence after which a link with open streams is pinged
 * @param idlePingInterval silence after which a link without streams is pinged
 * @param pingTimeout age of an unanswered ping at which a link is reset
 * @param idleTimeout time without a stream after which a link is closed
 * @param backoffBase longest wait after the first failed connection attempt
 * @param backoffMax longest wait between two connection attempts
 * @param controlDeadline bound for one control call
 * @param maxControlConnections connections for control calls to all other nodes together
 * @param maxWaitingControlCalls control calls that wait for a connection
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

  /** Settings for the deployments described in the design page. */
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

  /** These settings with other heartbeats. */
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

  /** These settings with other bounds of control calls. */
  public LinkSettings withControlLimits(Duration deadline, int connections, int waiting) {
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
        connections,
        waiting);
  }

  /** These settings with another bound and backoff of connection attempts. */
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
