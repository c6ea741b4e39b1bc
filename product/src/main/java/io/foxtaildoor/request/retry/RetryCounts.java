package io.foxtaildoor.request.retry;

/**
 * Counts of the requests to a service and their retries, at one node since its start.
 *
 * @param requests number of requests that this node sent at least once
 * @param granted number of retries that the budget admitted
 * @param denied number of retries that the budget refused
 * @param charged expected number of repeats caused by calls of the local upstream
 */
public record RetryCounts(long requests, long granted, long denied, double charged) {
  /** Counts before the first request. */
  public static final RetryCounts NONE = new RetryCounts(0, 0, 0, 0);

  RetryCounts plusRequest() {
    return new RetryCounts(requests + 1, granted, denied, charged);
  }

  RetryCounts plusGranted() {
    return new RetryCounts(requests, granted + 1, denied, charged);
  }

  RetryCounts plusDenied() {
    return new RetryCounts(requests, granted, denied + 1, charged);
  }

  RetryCounts plusCharged(double repeats) {
    return new RetryCounts(requests, granted, denied, charged + repeats);
  }

  /** Number of retries that were requested from the budget. */
  public long requestedRetries() {
    return granted + denied;
  }

  /** Returns the difference from earlier counts. */
  public RetryCounts since(RetryCounts earlier) {
    return new RetryCounts(
        requests - earlier.requests,
        granted - earlier.granted,
        denied - earlier.denied,
        charged - earlier.charged);
  }
}
