package io.foxtaildoor.request.retry;

import java.time.Duration;

/** Retry budget of one service at one node, over a sliding window. Thread-safe. */
final class RetryBudget {
  /**
   * Number of intervals of a window over which the spending of a budget is paced. Calls made by
   * repeated runs follow the retries that cause them and cannot be refused, so retries that use up
   * a whole window at once would leave no budget for them.
   */
  static final int PACING_INTERVALS = 10;

  /** Tolerance for rounding errors in sums of fractional charges. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private Duration window;
  private SlidingWindowSum requests;
  private SlidingWindowSum possibleUpstreamCalls;
  private SlidingWindowSum spent;
  private SlidingWindowSum recentRequests;
  private SlidingWindowSum recentSpent;
  private RetryCounts counts = RetryCounts.NONE;

  /** Creates a budget with an empty window. */
  RetryBudget(Duration window, long nowNanos) {
    reset(window, nowNanos);
  }

  private void reset(Duration newWindow, long nowNanos) {
    window = newWindow;
    requests = new SlidingWindowSum(window, nowNanos);
    possibleUpstreamCalls = new SlidingWindowSum(window, nowNanos);
    spent = new SlidingWindowSum(window, nowNanos);
    recentRequests = new SlidingWindowSum(window.dividedBy(PACING_INTERVALS), nowNanos);
    recentSpent = new SlidingWindowSum(window.dividedBy(PACING_INTERVALS), nowNanos);
  }

  /**
   * Counts a request (not its retries).
   *
   * @param mayBeCall whether the upstream on this host may have made the request
   * @param repeatProbability probability that the request is a call made by a repeated run, which
   *     counts as a repeat too
   */
  synchronized void recordRequest(boolean mayBeCall, double repeatProbability, long nowNanos) {
    requests.add(1 - repeatProbability, nowNanos);
    recentRequests.add(1 - repeatProbability, nowNanos);
    if (mayBeCall) {
      possibleUpstreamCalls.add(1, nowNanos);
    }
    counts = counts.plusRequest();
  }

  /** Number of requests in the window that the upstream on this host may have made. */
  synchronized double possibleUpstreamCalls(long nowNanos) {
    return possibleUpstreamCalls.upperBound(nowNanos);
  }

  /**
   * Charges repeats that this node does not decide on, whether or not the budget has room for them.
   */
  synchronized void charge(double repeats, long nowNanos) {
    spend(repeats, nowNanos);
    counts = counts.plusCharged(repeats);
  }

  /** Takes one retry from the budget; returns false when there is no room for it. */
  synchronized boolean tryAcquire(double floor, RetrySettings settings, long nowNanos) {
    changeWindow(settings.budgetWindow(), nowNanos);
    double share = settings.budgetShare();
    boolean withinPace = !settings.isPaced() || hasRecentRoom(floor, share, nowNanos);
    if (!withinPace || !hasRoom(floor, share, nowNanos)) {
      counts = counts.plusDenied();
      return false;
    }
    spend(1, nowNanos);
    counts = counts.plusGranted();
    return true;
  }

  private boolean hasRoom(double floor, double share, long nowNanos) {
    double allowed = floor + share * requests.lowerBound(nowNanos);
    return spent.upperBound(nowNanos) + 1 <= allowed + ROUNDING_TOLERANCE;
  }

  /**
   * Whether the latest interval of the window has room for a retry. One retry is always admitted,
   * so that nodes with few requests can retry as well.
   */
  private boolean hasRecentRoom(double floor, double share, long nowNanos) {
    double recent = recentSpent.upperBound(nowNanos);
    double allowed = floor + share * recentRequests.upperBound(nowNanos);
    return recent < ROUNDING_TOLERANCE || recent + 1 <= allowed;
  }

  private void spend(double repeats, long nowNanos) {
    spent.add(repeats, nowNanos);
    recentSpent.add(repeats, nowNanos);
  }

  /**
   * Applies a changed window. Retries spent in the previous window count as spent now, and requests
   * are counted anew.
   */
  private void changeWindow(Duration newWindow, long nowNanos) {
    if (newWindow.equals(window)) {
      return;
    }
    double spentBefore = spent.upperBound(nowNanos);
    reset(newWindow, nowNanos);
    spent.add(spentBefore, nowNanos);
  }

  /** Returns the counts since this budget was created. */
  synchronized RetryCounts counts() {
    return counts;
  }
}
