package io.foxtaildoor.process.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** HTTP resources for liveness checks, readiness checks and metrics. */
public final class HealthResources {
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final BooleanSupplier ready;
  private final PrometheusMeterRegistry registry;

  /**
   * Creates the resources.
   *
   * @param ready returns whether this node is ready to receive requests from callers
   */
  public HealthResources(BooleanSupplier ready, PrometheusMeterRegistry registry) {
    this.ready = ready;
    this.registry = registry;
  }

  /** Adds the resources to a router. */
  public void register(OperatorRouter router) {
    router
        .add("GET", "/health/live", request -> healthResponse(true))
        .add("GET", "/health/ready", request -> healthResponse(ready.getAsBoolean()))
        .add(
            "GET",
            "/metrics",
            request ->
                CompletableFuture.completedFuture(
                    OperatorResponse.text(200, METRICS_TYPE, registry.scrape())));
  }

  private static CompletableFuture<OperatorResponse> healthResponse(boolean healthy) {
    return CompletableFuture.completedFuture(
        healthy
            ? OperatorResponse.text(200, "text/plain", "ok\n")
            : OperatorResponse.text(503, "text/plain", "not ready\n"));
  }
}
