package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the platform client.
 *
 * @param endpoints base addresses of the platform ({@code http://host:port}), tried in turn
 * @param callTimeout limit of one call, with its wait for the budget; a watch adds its waiting time
 * @param connectTimeout limit for opening a connection
 * @param connectionsPerEndpoint most connections to one endpoint; a watch occupies one
 * @param background budget of the process's own calls
 * @param interactive budget of operators' calls
 * @param partFetches budget for fetching parts, used only while holding a reader lease
 * @param initialBackoff first delay after a failure
 * @param maxBackoff longest delay after failures
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
  /** Keeps a mass restart of the fleet within the platform's reads per second. */
  private static final CallRate BACKGROUND_RATE = new CallRate(5, 1);

  /** Operators are few, and one approval makes about ten calls. */
  private static final CallRate INTERACTIVE_RATE = new CallRate(20, 10);

  /** 22 readers together stay at a quarter of the platform's 2,000 reads/s. */
  private static final CallRate PART_FETCH_RATE = new CallRate(20, 20);

  /** Checks the values. */
  public PlatformSettings {
    endpoints = List.copyOf(endpoints);
    endpoints.forEach(PlatformSettings::checkEndpoint);
    SettingsCheck.requirePositive("callTimeout", callTimeout);
    SettingsCheck.requirePositive("connectTimeout", connectTimeout);
    // With one connection, a waiting watch would hold up every other call.
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

  /** Settings for the given endpoints with the usual limits. */
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

  /** Settings without an endpoint; every call is unavailable. */
  public static PlatformSettings defaults() {
    return defaults(List.of());
  }
}
