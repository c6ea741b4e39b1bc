package io.foxtaildoor.request.idempotency;

import java.time.Duration;

/**
 * Settings of the remembered keys.
 *
 * @param shards parts with a lock of their own
 * @param maxKeys keys remembered at a time
 * @param maxBytes bytes of the remembered keys and answers together
 * @param maxAnswerBytes largest answer that is remembered, with its headers
 * @param retention time that a key is remembered after its request ended
 */
public record KeyRegistrySettings(
    int shards, int maxKeys, long maxBytes, int maxResponseBytes, Duration retention) {

  /** Settings for the deployments described in the design page. */
  public static KeyRegistrySettings defaults() {
    return new KeyRegistrySettings(16, 100_000, 32L << 20, 64 << 10, Duration.ofMinutes(10));
  }
}
