package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Numbers of the admission by rank. */
final class UpstreamMetrics {
  private static final String PREFIX = "foxtaildoor.upstream.";

  private final MeterRegistry registry;

  UpstreamMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Publishes a number for each rank. */
  void gauge(String name, ToDoubleFunction<Rank> value) {
    for (Rank rank : Rank.values()) {
      registry.gauge(PREFIX + name, tags(rank), rank, value);
    }
  }

  /** Publishes one number. */
  <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    registry.gauge(PREFIX + name, source, value);
  }

  void admitted(Rank rank, long waitNanos) {
    registry.counter(PREFIX + "admitted", tags(rank)).increment();
    registry.timer(PREFIX + "wait", tags(rank)).record(waitNanos, TimeUnit.NANOSECONDS);
  }

  void failed(Rank rank, ErrorKind kind) {
    registry.counter(PREFIX + "refused", tags(rank).and("kind", kind.headerValue())).increment();
  }

  /** Counts an answer that belonged to no waiting request. */
  void strayAnswer() {
    registry.counter(PREFIX + "stray.answers").increment();
  }

  void served(Rank rank, long serviceNanos) {
    registry.timer(PREFIX + "service", tags(rank)).record(serviceNanos, TimeUnit.NANOSECONDS);
  }

  private static Tags tags(Rank rank) {
    return Tags.of("rank", rank.name().toLowerCase(Locale.ROOT));
  }
}
