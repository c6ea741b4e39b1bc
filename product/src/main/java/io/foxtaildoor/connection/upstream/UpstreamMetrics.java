package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Metrics of the requests to the upstream, mostly by rank. */
final class UpstreamMetrics {
  private static final String PREFIX = "foxtaildoor.upstream.";

  private final MeterRegistry registry;
  private final Counter first;
  private final Counter repeated;
  private final Map<Rank, RankMeters> metersByRank = new ConcurrentHashMap<>();

  UpstreamMetrics(MeterRegistry registry) {
    this.registry = registry;
    first = registry.counter(PREFIX + "arrivals", "repeated", "false");
    repeated = registry.counter(PREFIX + "arrivals", "repeated", "true");
  }

  /** Registers a gauge for each rank. */
  void gauge(String name, ToDoubleFunction<Rank> value) {
    for (Rank rank : Rank.values()) {
      registry.gauge(PREFIX + name, tags(rank), rank, value);
    }
  }

  /** Registers a single gauge. */
  <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    registry.gauge(PREFIX + name, source, value);
  }

  void recordAdmission(Rank rank, long waitNanos) {
    metersOf(rank).admitted.increment();
    metersOf(rank).wait.record(waitNanos, TimeUnit.NANOSECONDS);
  }

  void countFailure(Rank rank, ErrorKind kind) {
    metersOf(rank)
        .refused
        .computeIfAbsent(
            kind,
            key -> registry.counter(PREFIX + "refused", tags(rank).and("kind", key.headerValue())))
        .increment();
  }

  /**
   * Counts a request that was sent to the upstream.
   *
   * @param repeat whether an earlier attempt reached an upstream or may have reached one
   */
  void countArrival(boolean repeat) {
    (repeat ? repeated : first).increment();
  }

  /** Numbers of requests that were sent to the upstream, by first and repeated attempts. */
  Arrivals arrivals() {
    return new Arrivals((long) first.count(), (long) repeated.count());
  }

  /** Counts a response that belonged to another request than the one in progress. */
  void countStrayResponse() {
    registry.counter(PREFIX + "stray.answers").increment();
  }

  /** Counts a connection that closes because it carried the id of a new request before. */
  void countRepeatedId() {
    registry.counter(PREFIX + "repeated.ids").increment();
  }

  void recordServiceTime(Rank rank, long serviceNanos) {
    metersOf(rank).service.record(serviceNanos, TimeUnit.NANOSECONDS);
  }

  private RankMeters metersOf(Rank rank) {
    return metersByRank.computeIfAbsent(rank, key -> new RankMeters(registry, key));
  }

  /**
   * The meters of one rank. They are cached because a lookup by name and tags costs more than
   * incrementing a counter.
   */
  private static final class RankMeters {
    private final Counter admitted;
    private final Timer wait;
    private final Timer service;
    private final Map<ErrorKind, Counter> refused = new ConcurrentHashMap<>();

    RankMeters(MeterRegistry registry, Rank rank) {
      admitted = registry.counter(PREFIX + "admitted", tags(rank));
      wait = registry.timer(PREFIX + "wait", tags(rank));
      service = registry.timer(PREFIX + "service", tags(rank));
    }
  }

  private static Tags tags(Rank rank) {
    return Tags.of("rank", rank.name().toLowerCase(Locale.ROOT));
  }
}
