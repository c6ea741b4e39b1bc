package io.foxtaildoor.version.distribution;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counters of the configuration distribution. */
final class DistributionMetrics {
  private static final String PREFIX = "foxtaildoor.config.";
  private static final int MAX_PENDING = 64;

  final Counter applied;
  final Counter rejected;
  final Counter pulls;
  final Counter failedPulls;
  final Counter sentBytes;
  final Counter receivedBytes;
  final Counter conflicting;
  private final Timer convergence;
  private final TreeMap<Long, Long> firstHeard = new TreeMap<>();

  DistributionMetrics(MeterRegistry registry) {
    applied = registry.counter(PREFIX + "applied");
    rejected = registry.counter(PREFIX + "rejected");
    pulls = registry.counter(PREFIX + "pulls");
    failedPulls = registry.counter(PREFIX + "pulls.failed");
    sentBytes = registry.counter(PREFIX + "sent.bytes");
    receivedBytes = registry.counter(PREFIX + "received.bytes");
    conflicting = registry.counter(PREFIX + "conflicting");
    convergence = registry.timer(PREFIX + "notice.to.applied");
  }

  /** Records the first time that a version was heard of; called under the distributor's lock. */
  void heard(long version, long nowNanos) {
    firstHeard.putIfAbsent(version, nowNanos);
    if (firstHeard.size() > MAX_PENDING) {
      firstHeard.pollFirstEntry();
    }
  }

  /** Records an applied version; called under the distributor's lock. */
  void applied(long version, long nowNanos) {
    applied.increment();
    Long heard = firstHeard.get(version);
    if (heard != null) {
      convergence.record(nowNanos - heard, TimeUnit.NANOSECONDS);
    }
    firstHeard.headMap(version, true).clear();
  }
}
