package io.foxtaildoor.request.idempotency;

import java.time.Duration;

/**
 * Settings of a {@link KeyRegistry}.
 *
 * @param shards number of parts, each with its own lock
 * @param maxKeys maximum number of stored keys
 * @param maxBytes maximum total size of the stored keys and responses in bytes
 * @param maxResponseBytes maximum size of a stored response, including its headers, in bytes
 * @param retention time for which a key is kept after its request ended
 */
public record KeyRegistrySettings(
    int shards, int maxKeys, long maxBytes, int maxResponseBytes, Duration retention) {

  /** Default settings, for the deployments described on the design page. */
  public static KeyRegistrySettings defaults() {
    return new KeyRegistrySettings(16, 100_000, 32L << 20, 64 << 10, Duration.ofMinutes(10));
  }
}
