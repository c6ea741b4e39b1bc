package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.request.admission.AdmissionSettings;
import io.foxtaildoor.request.idempotency.KeyRegistrySettings;
import java.time.Duration;

/**
 * Settings for forwarding requests to the local upstream.
 *
 * @param connectTimeout limit for connecting to the upstream, which runs on the same host
 * @param progressTimeout time without progress after which an exchange with the upstream is aborted
 * @param continueTimeout how long to wait for {@code 100 Continue} before the body is sent anyway
 * @param idleTimeout time after which an idle connection is closed; shorter than the usual
 *     keep-alive timeout of servers, so that the upstream rarely closes a connection that is just
 *     being reused
 * @param bufferedResponseBytes responses up to this size are forwarded only when they are complete,
 *     so that the caller's node can still try another instance if a response is cut off; 0 forwards
 *     each part at once
 * @param headers names of the headers that the upstream understands
 * @param maxRequestBytes size limit of a request body
 * @param maxResponseBytes size limit of a response body
 * @param admission settings of the queue that limits the requests in flight
 * @param keys settings of the registry of idempotency keys
 */
public record UpstreamSettings(
    Duration connectTimeout,
    Duration progressTimeout,
    Duration continueTimeout,
    Duration idleTimeout,
    int bufferedResponseBytes,
    HeaderDialect headers,
    long maxRequestBytes,
    long maxResponseBytes,
    AdmissionSettings admission,
    KeyRegistrySettings keys) {
  /** Chosen so that responses of the usual size are forwarded as a whole. */
  private static final int BUFFERED_RESPONSE_BYTES = 64 << 10;

  /** Returns a copy for instances that report their capacity and use another header dialect. */
  public UpstreamSettings forManagedInstances(HeaderDialect dialect) {
    return new UpstreamSettings(
        connectTimeout,
        progressTimeout,
        continueTimeout,
        idleTimeout,
        bufferedResponseBytes,
        dialect,
        maxRequestBytes,
        maxResponseBytes,
        admission.withReportedCapacity(),
        keys);
  }

  /** Returns the defaults, which suit the deployments described in the design page. */
  public static UpstreamSettings defaults() {
    return new UpstreamSettings(
        Duration.ofMillis(500),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        Duration.ofSeconds(4),
        BUFFERED_RESPONSE_BYTES,
        HeaderDialect.STANDARD,
        1L << 30,
        1L << 30,
        AdmissionSettings.defaults(),
        KeyRegistrySettings.defaults());
  }
}
