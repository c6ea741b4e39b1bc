package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ExponentialBackoff;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Sends calls to the platform's endpoints within a call budget, and backs off after failures. */
@SuppressWarnings("FutureReturnValueIgnored") // Results are delivered through separate futures.
final class PlatformCallExecutor implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(PlatformCallExecutor.class.getName());
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;

  private final long callTimeoutNanos;
  private final List<Endpoint> endpoints;
  private final EventLoopGroup group;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final PlatformMetrics metrics;
  private final Object lock = new Object();
  private final ExponentialBackoff backoff;
  private boolean backingOff;
  private long backoffEndNanos;
  private int preferredIndex;
  private volatile boolean closed;

  PlatformCallExecutor(
      PlatformSettings settings,
      EventLoopGroup group,
      LongSupplier clock,
      RandomGenerator random,
      MeterRegistry registry) {
    this.group = group;
    this.clock = clock;
    this.random = random;
    metrics = new PlatformMetrics(registry);
    callTimeoutNanos = settings.callTimeout().toNanos();
    backoff = new ExponentialBackoff(settings.initialBackoff(), settings.maxBackoff());
    endpoints =
        settings.endpoints().stream()
            .map(uri -> new Endpoint(uri, settings, group, clock))
            .toList();
  }

  /**
   * Sends a call.
   *
   * @param backsOff whether the call is rejected during the back-off after a failure; calls made on
   *     behalf of operators are not, so that they succeed as soon as the platform is available
   *     again
   */
  CompletableFuture<ExchangeOutcome> execute(
      PlatformRequest request, CallBudget budget, boolean backsOff) {
    long now = clock.getAsLong();
    if (closed || endpoints.isEmpty()) {
      return reject("the platform client is closed or has no endpoints");
    }
    if (backsOff && isBackingOff(now)) {
      return reject("backing off after a failed call");
    }
    OptionalLong wait = budget.reserve(now, callTimeoutNanos);
    if (wait.isEmpty()) {
      return reject("the call budget is exhausted");
    }
    long deadline = now + callTimeoutNanos + request.waitNanos();
    CompletableFuture<ExchangeOutcome> result = new CompletableFuture<>();
    Runnable start = () -> tryEndpoint(request, deadline, preferredEndpoint(), 0, result);
    if (wait.getAsLong() == 0) {
      start.run();
    } else {
      group.schedule(start, wait.getAsLong(), TimeUnit.NANOSECONDS);
    }
    return result;
  }

  private CompletableFuture<ExchangeOutcome> reject(String reason) {
    metrics.countRejected();
    return CompletableFuture.completedFuture(new ExchangeOutcome.NotSent(reason));
  }

  private boolean isBackingOff(long nowNanos) {
    synchronized (lock) {
      return backingOff && backoffEndNanos - nowNanos > 0;
    }
  }

  private int preferredEndpoint() {
    synchronized (lock) {
      return preferredIndex;
    }
  }

  /**
   * Sends the request to an endpoint, and to the next one only if no byte of the request has been
   * written.
   */
  private void tryEndpoint(
      PlatformRequest request,
      long deadline,
      int index,
      int triedEndpoints,
      CompletableFuture<ExchangeOutcome> result) {
    Endpoint endpoint = endpoints.get(index);
    endpoint
        .call(request, deadline)
        .thenAccept(
            outcome -> {
              boolean tryNext =
                  outcome instanceof ExchangeOutcome.NotSent
                      && triedEndpoints + 1 < endpoints.size()
                      && deadline - clock.getAsLong() > 0;
              if (tryNext) {
                tryEndpoint(
                    request, deadline, (index + 1) % endpoints.size(), triedEndpoints + 1, result);
              } else {
                recordOutcome(outcome, index);
                result.complete(outcome);
              }
            });
  }

  private void recordOutcome(ExchangeOutcome outcome, int index) {
    metrics.countOutcome(outcome, isRateLimited(outcome));
    boolean succeeded = isSuccess(outcome);
    boolean changed;
    synchronized (lock) {
      changed = backingOff == succeeded;
      if (succeeded) {
        backoff.reset();
        backingOff = false;
        preferredIndex = index;
      } else {
        backingOff = true;
        backoffEndNanos = clock.getAsLong() + backoff.recordFailure(random);
        preferredIndex = (index + 1) % endpoints.size();
      }
    }
    if (changed) {
      logAvailabilityChange(outcome, succeeded);
    }
  }

  /** Logs the start and the end of an outage rather than each failed call. */
  private static void logAvailabilityChange(ExchangeOutcome outcome, boolean succeeded) {
    if (succeeded) {
      LOG.log(System.Logger.Level.INFO, "the platform is available again");
    } else {
      LOG.log(System.Logger.Level.WARNING, "the platform is unavailable: {0}", describe(outcome));
    }
  }

  private static String describe(ExchangeOutcome outcome) {
    if (outcome instanceof ExchangeOutcome.Answered answered) {
      return "status " + answered.status();
    }
    return outcome instanceof ExchangeOutcome.NotSent notSent
        ? notSent.reason()
        : ((ExchangeOutcome.Failed) outcome).reason();
  }

  private static boolean isRateLimited(ExchangeOutcome outcome) {
    return outcome instanceof ExchangeOutcome.Answered answered
        && answered.status() == TOO_MANY_REQUESTS;
  }

  private static boolean isSuccess(ExchangeOutcome outcome) {
    return outcome instanceof ExchangeOutcome.Answered answered
        && !isRateLimited(outcome)
        && answered.status() < SERVER_ERROR;
  }

  @Override
  public void close() {
    closed = true;
    endpoints.forEach(Endpoint::close);
  }
}
