package io.foxtaildoor.connection.caller;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the listener for callers.
 *
 * @param address where to listen; port 0 takes a free one
 * @param maxConnections further connections are closed at once
 * @param maxRequestLineBytes longest request line
 * @param maxHeaderBytes largest sum of all header lines
 * @param headTimeout time from the first byte of a request to the end of its head
 * @param idleTimeout time that a connection may wait for the first byte of a request
 * @param maxReplayBytes largest part of a body that is held for a retry
 * @param maxTotalReplayBytes bound on what all requests together hold for retries
 * @param drainIdleDelay time that an idle connection stays open after a drain began
 * @param drainTimeout time after which a drain closes the connections that are left
 */
public record CallerSettings(
    InetSocketAddress address,
    int maxConnections,
    int maxRequestLineBytes,
    int maxHeaderBytes,
    Duration headTimeout,
    Duration idleTimeout,
    int maxReplayBytes,
    long maxTotalReplayBytes,
    Duration drainIdleDelay,
    Duration drainTimeout) {
  /** Listens on a free loopback port. */
  public static CallerSettings defaults() {
    return new CallerSettings(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        10_000,
        8 * 1024,
        32 * 1024,
        Duration.ofSeconds(10),
        Duration.ofSeconds(60),
        64 * 1024,
        16 * 1024 * 1024,
        Duration.ofMillis(250),
        Duration.ofSeconds(30));
  }
}
