package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.request.admission.AdmissionSettings;
import io.foxtaildoor.request.idempotency.KeyRegistrySettings;
import java.time.Duration;

/**
 * Settings of the passage to the local upstream.
 *
 * @param connectTimeout bound for a connection on the own host
 * @param progressTimeout time without a byte from a running upstream after which it is cut off
 * @param continueTimeout wait for {@code 100 Continue} before the body is sent anyway
 * @param idleTimeout time after which an unused connection is closed; below the usual keep-alive
 *     time of servers, so that connections are rarely closed by the upstream while they are reused
 * @param drainTimeout longest wait for requests in flight when the upstream leaves
 * @param bufferedResponseBytes answers up to this size are passed on when they are complete, so
 *     that the caller's node can still try another instance when one is cut off; 0 passes on each
 *     part
 * @param headers names of the headers that the upstream understands
 * @param maxRequestBytes largest request body
 * @param maxResponseBytes largest response body
 */
public record UpstreamSettings(
    Duration connectTimeout,
    Duration progressTimeout,
    Duration continueTimeout,
    Duration idleTimeout,
    Duration drainTimeout,
    int bufferedResponseBytes,
    HeaderDialect headers,
    long maxRequestBytes,
    long maxResponseBytes,
    AdmissionSettings admission,
    KeyRegistrySettings keys) {
  /** Answers of the usual size are passed on whole. */
  private static final int HELD_ANSWER_BYTES = 64 << 10;

  /** These settings for instances that report their capacity and understand another dialect. */
  public UpstreamSettings forManagedInstances(HeaderDialect dialect) {
    return new UpstreamSettings(
        connectTimeout,
        progressTimeout,
        continueTimeout,
        idleTimeout,
        drainTimeout,
        bufferedResponseBytes,
        dialect,
        maxRequestBytes,
        maxResponseBytes,
        admission.withReportedCapacity(),
        keys);
  }

  /** Settings for the deployments described in the design page. */
  public static UpstreamSettings defaults() {
    return new UpstreamSettings(
        Duration.ofMillis(500),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        Duration.ofSeconds(4),
        Duration.ofSeconds(30),
        HELD_ANSWER_BYTES,
        HeaderDialect.STANDARD,
        1L << 30,
        1L << 30,
        AdmissionSettings.defaults(),
        KeyRegistrySettings.defaults());
  }
}
