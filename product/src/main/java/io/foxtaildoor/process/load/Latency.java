package io.foxtaildoor.process.load;

import org.HdrHistogram.Histogram;

/** Latency percentiles in microseconds. All are 0 when no latency was recorded. */
public record Latency(
    long count, long p50Micros, long p90Micros, long p99Micros, long p999Micros, long maxMicros) {
  static Latency of(Histogram micros) {
    return new Latency(
        micros.getTotalCount(),
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(90),
        micros.getValueAtPercentile(99),
        micros.getValueAtPercentile(99.9),
        micros.getMaxValue());
  }
}
