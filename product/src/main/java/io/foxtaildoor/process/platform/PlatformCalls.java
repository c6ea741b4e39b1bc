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

/** Runs calls within a budget over the endpoints, with a back-off after failures. */
@SuppressWarnings("FutureReturnValueIgnored") // Results are delivered through other futures.
final class PlatformCalls implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(PlatformCalls.class.getName());
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
  private boolean blocked;
  private long blockedUntilNanos;
  private int preferred;
  private volatile boolean closed;

  PlatformCalls(
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
   * Runs a call.
   *
   * @param backsOff whether the call is refused during the back-off after a failure; operators'
   *     calls are not, so that they succeed as soon as the platform is back
   */
  CompletableFuture<Attempt> run(PlatformRequest request, CallBudget budget, boolean backsOff) {
    long now = clock.getAsLong();
    if (closed || endpoints.isEmpty()) {
      return withheld("the platform client is closed or has no endpoint");
    }
    if (backsOff && blockedAt(now)) {
      return withheld("backing off after a failed call");
    }
    OptionalLong wait = budget.reserve(now, callTimeoutNanos);
    if (wait.isEmpty()) {
      return withheld("the call budget is used up");
    }
    long deadline = now + callTimeoutNanos + request.waitNanos();
    CompletableFuture<Attempt> result = new CompletableFuture<>();
    Runnable start = () -> attempt(request, deadline, first(), 0, result);
    if (wait.getAsLong() == 0) {
      start.run();
    } else {
      group.schedule(start, wait.getAsLong(), TimeUnit.NANOSECONDS);
    }
    return result;
  }

  private CompletableFuture<Attempt> withheld(String reason) {
    metrics.withheld();
    return CompletableFuture.completedFuture(new Attempt.NotSent(reason));
  }

  private boolean blockedAt(long nowNanos) {
    synchronized (lock) {
      return blocked && blockedUntilNanos - nowNanos > 0;
    }
  }

  private int first() {
    synchronized (lock) {
      return preferred;
    }
  }

  /** Tries the next endpoint only while no byte of the request was written. */
  private void attempt(
      PlatformRequest request,
      long deadline,
      int index,
      int tried,
      CompletableFuture<Attempt> result) {
    Endpoint endpoint = endpoints.get(index);
    endpoint
        .call(request, deadline)
        .thenAccept(
            attempt -> {
              boolean again =
                  attempt instanceof Attempt.NotSent
                      && tried + 1 < endpoints.size()
                      && deadline - clock.getAsLong() > 0;
              if (again) {
                attempt(request, deadline, (index + 1) % endpoints.size(), tried + 1, result);
              } else {
                record(attempt, index);
                result.complete(attempt);
              }
            });
  }

  private void record(Attempt attempt, int index) {
    metrics.ended(attempt, overLimit(attempt));
    boolean succeeded = succeeded(attempt);
    boolean changed;
    synchronized (lock) {
      changed = blocked == succeeded;
      if (succeeded) {
        backoff.reset();
        blocked = false;
        preferred = index;
      } else {
        blocked = true;
        blockedUntilNanos = clock.getAsLong() + backoff.recordFailure(random);
        preferred = (index + 1) % endpoints.size();
      }
    }
    if (changed) {
      report(attempt, succeeded);
    }
  }

  /** Logs the begin and the end of an outage, not each failed call. */
  private static void report(Attempt attempt, boolean succeeded) {
    if (succeeded) {
      LOG.log(System.Logger.Level.INFO, "the platform answers again");
    } else {
      LOG.log(System.Logger.Level.WARNING, "the platform does not answer: {0}", reason(attempt));
    }
  }

  private static String reason(Attempt attempt) {
    if (attempt instanceof Attempt.Answered answered) {
      return "status " + answered.status();
    }
    return attempt instanceof Attempt.NotSent notSent
        ? notSent.reason()
        : ((Attempt.Broken) attempt).reason();
  }

  private static boolean overLimit(Attempt attempt) {
    return attempt instanceof Attempt.Answered answered && answered.status() == TOO_MANY_REQUESTS;
  }

  private static boolean succeeded(Attempt attempt) {
    return attempt instanceof Attempt.Answered answered
        && !overLimit(attempt)
        && answered.status() < SERVER_ERROR;
  }

  @Override
  public void close() {
    closed = true;
    endpoints.forEach(Endpoint::close);
  }
}
