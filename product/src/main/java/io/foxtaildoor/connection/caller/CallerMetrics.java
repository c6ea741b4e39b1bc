package io.foxtaildoor.connection.caller;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Metrics of the listener for callers. Thread-safe. */
public final class CallerMetrics {
  /** Value of the {@code result} label for requests that received a complete response. */
  static final String ANSWERED = "answered";

  /**
   * Value of the {@code result} label for requests whose response was aborted after its head was
   * written.
   */
  static final String CUT = "cut";

  /**
   * Value of the {@code service} and {@code rank} labels for requests that were refused before they
   * were routed.
   */
  static final String NO_ROUTE = "none";

  private final MeterRegistry registry;
  private final Map<Labels, Counter> requests = new ConcurrentHashMap<>();
  private final Timer addedLatency;
  private final Counter retries;
  private final Counter lateResponseEvents;
  private final Counter refusedConnections;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final LongAdder answered = new LongAdder();
  private final LongAdder failed = new LongAdder();

  /** Creates the metrics and registers them. */
  public CallerMetrics(MeterRegistry registry) {
    this.registry = registry;
    addedLatency =
        Timer.builder("foxtaildoor.caller.added")
            .description("Time that this node itself adds to a request")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    retries = registry.counter("foxtaildoor.caller.retries");
    lateResponseEvents = registry.counter("foxtaildoor.caller.late.answers");
    refusedConnections = registry.counter("foxtaildoor.caller.refused.connections");
    registry.gauge("foxtaildoor.caller.in.flight", inFlight);
  }

  /** Returns the counters since the start of the process. */
  public CallerCounts counts() {
    return new CallerCounts(
        inFlight.get(),
        answered.sum(),
        failed.sum(),
        (long) retries.count(),
        (long) lateResponseEvents.count(),
        (long) refusedConnections.count());
  }

  void requestStarted() {
    inFlight.incrementAndGet();
  }

  void requestEnded(String service, String rank, String result) {
    inFlight.decrementAndGet();
    count(service, rank, result);
  }

  void requestRefused(String result) {
    count(NO_ROUTE, NO_ROUTE, result);
  }

  void requestRetried() {
    retries.increment();
  }

  void recordLateResponseEvent() {
    lateResponseEvents.increment();
  }

  void connectionRefused() {
    refusedConnections.increment();
  }

  void recordAddedLatency(long nanos) {
    addedLatency.record(nanos, TimeUnit.NANOSECONDS);
  }

  private void count(String service, String rank, String result) {
    (result.equals(ANSWERED) ? answered : failed).increment();
    requests.computeIfAbsent(new Labels(service, rank, result), this::counter).increment();
  }

  private Counter counter(Labels labels) {
    return registry.counter(
        "foxtaildoor.caller.requests",
        "service",
        labels.service,
        "rank",
        labels.rank,
        "result",
        labels.result);
  }

  private record Labels(String service, String rank, String result) {}
}
