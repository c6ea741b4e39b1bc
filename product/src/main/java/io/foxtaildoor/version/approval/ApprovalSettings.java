package io.foxtaildoor.version.approval;

import java.time.Duration;

/**
 * Settings of the approval service.
 *
 * @param maxAttempts writes of the head that may lose to other teams' changes
 * @param retryDelay mean wait after the first lost write; grows with each
 * @param operationLimit time after which no further attempt is made
 * @param historyRevisions revisions kept of a questionnaire
 * @param retainedVersions versions after which a replaced part is removed
 * @param removalsPerApproval parts removed with one approval
 * @param cacheBytes bytes of fetched parts that are kept
 */
public record ApprovalSettings(
    int maxAttempts,
    Duration retryDelay,
    Duration operationLimit,
    int historyRevisions,
    int retainedVersions,
    int removalsPerApproval,
    int cacheBytes) {
  /** The defaults. The cache holds the parts of the design's 810 services. */
  public static ApprovalSettings defaults() {
    return new ApprovalSettings(
        16, Duration.ofMillis(50), Duration.ofSeconds(20), 20, 100, 2, 4 << 20);
  }
}
