package io.foxtaildoor.process.audit;

import java.time.Duration;

/**
 * Settings of the audit trail.
 *
 * @param queueCapacity entries that wait for the platform; further ones are dropped and logged
 * @param refusalCapacity waiting entries above which refusals are dropped
 * @param refusalsPerSecond refusals recorded per second after a burst
 * @param refusalBurst refusals recorded at once
 * @param segmentEntries entries of a full segment
 * @param batchEntries entries written at once
 * @param firstRetry wait after a failed write; doubles up to {@code lastRetry}
 * @param lastRetry longest wait after a failed write
 */
public record AuditSettings(
    int queueCapacity,
    int refusalCapacity,
    double refusalsPerSecond,
    int refusalBurst,
    int segmentEntries,
    int batchEntries,
    Duration firstRetry,
    Duration lastRetry) {
  /** The defaults; the platform takes one call a second from a process on average. */
  public static AuditSettings defaults() {
    return new AuditSettings(
        1_000, 250, 0.5, 10, 200, 50, Duration.ofSeconds(1), Duration.ofSeconds(30));
  }
}
