package io.foxtaildoor.version.distribution;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Metrics of the configuration distribution. */
final class DistributionMetrics {
  private static final String PREFIX = "foxtaildoor.config.";
  private static final int MAX_TRACKED_VERSIONS = 64;

  final Counter applied;
  final Counter rejected;
  final Counter pulls;
  final Counter failedPulls;
  final Counter sentBytes;
  final Counter receivedBytes;
  final Counter conflictingStamps;
  private final Timer noticeToApplied;
  private final TreeMap<Long, Long> firstHeardNanos = new TreeMap<>();

  DistributionMetrics(MeterRegistry registry) {
    applied = registry.counter(PREFIX + "applied");
    rejected = registry.counter(PREFIX + "rejected");
    pulls = registry.counter(PREFIX + "pulls");
    failedPulls = registry.counter(PREFIX + "pulls.failed");
    sentBytes = registry.counter(PREFIX + "sent.bytes");
    receivedBytes = registry.counter(PREFIX + "received.bytes");
    conflictingStamps = registry.counter(PREFIX + "conflicting");
    noticeToApplied = registry.timer(PREFIX + "notice.to.applied");
  }

  /**
   * Records when another node first announced a version. The caller must hold the distributor's
   * lock.
   */
  void recordHeard(long version, long nowNanos) {
    firstHeardNanos.putIfAbsent(version, nowNanos);
    if (firstHeardNanos.size() > MAX_TRACKED_VERSIONS) {
      firstHeardNanos.pollFirstEntry();
    }
  }

  /** Records an applied version. The caller must hold the distributor's lock. */
  void recordApplied(long version, long nowNanos) {
    applied.increment();
    Long heardNanos = firstHeardNanos.get(version);
    if (heardNanos != null) {
      noticeToApplied.record(nowNanos - heardNanos, TimeUnit.NANOSECONDS);
    }
    firstHeardNanos.headMap(version, true).clear();
  }
}
