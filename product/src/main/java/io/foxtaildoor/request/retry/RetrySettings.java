package io.foxtaildoor.request.retry;

import java.time.Duration;

/**
 * Parameters of retries.
 *
 * @param maxAttempts attempts of one request, the first included
 * @param minRemaining time that must be left for another attempt
 * @param budgetShare retries as a share of recent requests
 * @param budgetFloor retries admitted in the window whatever the number of requests
 * @param refusalsBypassBudget whether a request that reached no upstream yet is sent again without
 *     the budget
 * @param budgetWindow sliding window in which requests and retries are counted
 * @param isPaced whether a budget is spread over its window; needed where calls of repeated runs
 *     count as retries, since they follow later and cannot be refused
 */
public record RetrySettings(
    int maxAttempts,
    Duration minRemaining,
    double budgetShare,
    double budgetFloor,
    Duration budgetWindow,
    boolean refusalsBypassBudget,
    boolean isPaced) {
  /** The values of the design page. */
  public static RetrySettings defaults() {
    return new RetrySettings(3, Duration.ofMillis(2), 0.1, 3, Duration.ofSeconds(10), false, false);
  }
}
