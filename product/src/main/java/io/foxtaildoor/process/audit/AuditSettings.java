package io.foxtaildoor.process.audit;

import java.time.Duration;

/**
 * Settings of the audit trail.
 *
 * @param queueCapacity maximum number of entries that wait to be written to the platform; further
 *     entries are dropped and logged
 * @param refusalCapacity number of waiting entries from which refusals are dropped
 * @param refusalsPerSecond sustained rate of recorded refusals, per second
 * @param refusalBurst maximum burst of recorded refusals
 * @param maxSegmentEntries maximum number of entries in a segment
 * @param maxBatchEntries maximum number of entries per append
 * @param initialRetryDelay delay before the first retry of a failed write; doubles with each retry
 *     up to {@code maxRetryDelay}
 * @param maxRetryDelay maximum delay before a retry
 */
public record AuditSettings(
    int queueCapacity,
    int refusalCapacity,
    double refusalsPerSecond,
    int refusalBurst,
    int maxSegmentEntries,
    int maxBatchEntries,
    Duration initialRetryDelay,
    Duration maxRetryDelay) {
  /**
   * Returns the defaults. They take into account that the platform accepts one call per second from
   * each process on average.
   */
  public static AuditSettings defaults() {
    return new AuditSettings(
        1_000, 250, 0.5, 10, 200, 50, Duration.ofSeconds(1), Duration.ofSeconds(30));
  }
}
