package io.foxtaildoor.connection.caller;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the listener for callers.
 *
 * @param address address to listen on; port 0 selects a free port
 * @param maxConnections largest number of open connections; further ones are closed immediately
 * @param maxRequestLineBytes largest length of the request line in bytes
 * @param maxHeaderBytes largest total size of the header lines in bytes
 * @param headTimeout longest time from the first byte of a request to the end of its head
 * @param idleTimeout longest time that a connection may wait for the first byte of a request
 * @param maxReplayBytes largest number of body bytes that one request buffers for a retry
 * @param maxTotalReplayBytes largest number of body bytes that all requests together buffer for
 *     retries
 * @param drainIdleDelay time that an idle connection stays open after the start of a drain
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
    Duration drainIdleDelay) {
  /** Returns the default settings, with a free port on the loopback address. */
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
        Duration.ofMillis(250));
  }
}
