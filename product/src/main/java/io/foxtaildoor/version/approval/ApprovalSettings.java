package io.foxtaildoor.version.approval;

import java.time.Duration;

/**
 * Settings of the approval service.
 *
 * @param maxAttempts maximum number of attempts to replace the head while other teams' changes are
 *     written first
 * @param retryDelay mean delay after the first failed attempt; increases with each further attempt,
 *     up to eight times this value
 * @param operationLimit time since the start of the request after which no further attempt is made
 * @param historyRevisions maximum number of revisions kept for each questionnaire
 * @param retainedVersions number of versions after which a replaced part may be removed from the
 *     platform
 * @param removalsPerApproval maximum number of parts removed by one approval
 * @param cacheBytes capacity in bytes of the cache of parts fetched from the platform
 */
public record ApprovalSettings(
    int maxAttempts,
    Duration retryDelay,
    Duration operationLimit,
    int historyRevisions,
    int retainedVersions,
    int removalsPerApproval,
    int cacheBytes) {
  /** Returns the defaults. The cache is large enough for the parts of 810 services. */
  public static ApprovalSettings defaults() {
    return new ApprovalSettings(
        16, Duration.ofMillis(50), Duration.ofSeconds(20), 20, 100, 2, 4 << 20);
  }
}
