package io.foxtaildoor.request.retry;

import java.time.Duration;

/**
 * Settings of retries.
 *
 * @param maxAttempts maximum number of attempts of one request, including the first
 * @param minRemaining minimum time to the deadline that another attempt needs
 * @param budgetShare retries that the budget admits, as a fraction of the requests in the window
 * @param budgetFloor number of retries that the budget admits in the window whatever the number of
 *     requests
 * @param refusalsBypassBudget whether a request that has not reached any upstream is retried
 *     without using the budget
 * @param budgetWindow sliding window in which requests and retries are counted
 * @param isPaced whether the spending of a budget is spread over its window; needed where calls
 *     made by repeated runs count as retries, because they follow later and cannot be refused
 */
public record RetrySettings(
    int maxAttempts,
    Duration minRemaining,
    double budgetShare,
    double budgetFloor,
    Duration budgetWindow,
    boolean refusalsBypassBudget,
    boolean isPaced) {
  /** Default settings, with the values of the design page. */
  public static RetrySettings defaults() {
    return new RetrySettings(3, Duration.ofMillis(2), 0.1, 3, Duration.ofSeconds(10), false, false);
  }
}
