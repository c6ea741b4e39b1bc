package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.link.LinkClient;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.request.admission.EventLoopGuard;
import io.foxtaildoor.request.admission.StopAdmission;
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.request.idempotency.KeyedRequestTable;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryPolicy;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Components that the listener for callers uses. All of them must be thread-safe.
 *
 * @param configuration returns the configuration version in force at the time of the call
 * @param nanoTime monotonic clock in nanoseconds
 * @param random returns the random generator of the calling thread
 */
public record CallerDependencies(
    CallerProtocol protocol,
    CallerTimeoutTracker timeoutTracker,
    RequestLog requestLog,
    EventLoopGuard processorGuard,
    StopAdmission stopAdmission,
    Supplier<ConfigurationSnapshot> configuration,
    FleetView fleet,
    LinkClient linkClient,
    UpstreamSelector selector,
    RetryPolicy retryPolicy,
    RetryBudgets retryBudgets,
    KeyedRequestTable keyedRequests,
    Invariants invariants,
    CallerMetrics metrics,
    LongSupplier nanoTime,
    Supplier<RandomGenerator> random) {}
