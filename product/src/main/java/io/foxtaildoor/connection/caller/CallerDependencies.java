package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.link.LinkClient;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.request.admission.ProcessorGuard;
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.request.idempotency.KeyedRequests;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryPolicy;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * What the listener for callers works with; everything must be safe for use by several threads.
 *
 * @param configuration the version in force at the time of the call
 * @param nanoTime monotonic time
 * @param random generator of the calling thread
 */
public record CallerDependencies(
    CallerProtocol protocol,
    CallerPatience patience,
    RequestLog log,
    ProcessorGuard guard,
    Supplier<ConfigurationSnapshot> configuration,
    FleetView fleet,
    LinkClient links,
    UpstreamSelector selector,
    RetryPolicy retryPolicy,
    RetryBudgets retryBudgets,
    KeyedRequests keyedRequests,
    Invariants invariants,
    CallerMetrics metrics,
    LongSupplier nanoTime,
    Supplier<RandomGenerator> random) {}
