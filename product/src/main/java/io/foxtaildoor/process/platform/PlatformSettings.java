package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the platform client.
 *
 * @param endpoints base addresses of the platform ({@code http://host:port}); if one is
 *     unreachable, the next is tried
 * @param callTimeout time limit of one call, including its wait for the call budget; a watch adds
 *     the time that it waits for a change
 * @param connectTimeout time limit for opening a connection
 * @param connectionsPerEndpoint maximum number of connections to one endpoint; a pending watch
 *     occupies one of them
 * @param background call budget for the node's own background calls
 * @param interactive call budget for calls made on behalf of operators
 * @param partFetches call budget for fetching configuration parts, used only while holding a reader
 *     lease
 * @param initialBackoff back-off delay after the first failure
 * @param maxBackoff maximum back-off delay
 */
public record PlatformSettings(
    List<URI> endpoints,
    Duration callTimeout,
    Duration connectTimeout,
    int connectionsPerEndpoint,
    CallRate background,
    CallRate interactive,
    CallRate partFetches,
    Duration initialBackoff,
    Duration maxBackoff) {
  /**
   * Rate that keeps a simultaneous restart of all nodes within the platform's limit of reads per
   * second.
   */
  private static final CallRate BACKGROUND_RATE = new CallRate(5, 1);

  /** Rate for operators, who are few; one approval makes about ten calls. */
  private static final CallRate INTERACTIVE_RATE = new CallRate(20, 10);

  /**
   * Rate at which 22 readers together use about a quarter of the platform's limit of 2,000 reads/s.
   */
  private static final CallRate PART_FETCH_RATE = new CallRate(20, 20);

  /** Validates the values. */
  public PlatformSettings {
    endpoints = List.copyOf(endpoints);
    endpoints.forEach(PlatformSettings::checkEndpoint);
    SettingsCheck.requirePositive("callTimeout", callTimeout);
    SettingsCheck.requirePositive("connectTimeout", connectTimeout);
    // With a single connection, a pending watch would block all other calls.
    SettingsCheck.requireAtLeast("connectionsPerEndpoint", connectionsPerEndpoint, 2);
    SettingsCheck.requirePositive("initialBackoff", initialBackoff);
    SettingsCheck.requirePositive("maxBackoff", maxBackoff);
  }

  private static void checkEndpoint(URI uri) {
    boolean complete = uri.getHost() != null && uri.getPort() > 0;
    SettingsCheck.require(
        complete && "http".equals(uri.getScheme()),
        "platform endpoint " + uri + " must have the form http://host:port");
  }

  /** Returns default settings for the given endpoints. */
  public static PlatformSettings defaults(List<URI> endpoints) {
    return new PlatformSettings(
        endpoints,
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        8,
        BACKGROUND_RATE,
        INTERACTIVE_RATE,
        PART_FETCH_RATE,
        Duration.ofMillis(200),
        Duration.ofSeconds(5));
  }

  /** Returns default settings without endpoints, with which every call is unavailable. */
  public static PlatformSettings defaults() {
    return defaults(List.of());
  }
}
