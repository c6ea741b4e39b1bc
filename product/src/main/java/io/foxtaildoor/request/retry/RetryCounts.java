package io.foxtaildoor.request.retry;

/**
 * Requests to a service and retries of them at one node since its start.
 *
 * @param requests requests that this node sent at least once
 * @param granted retries that the budget admitted
 * @param denied retries that the budget refused
 * @param charged repeats that the local upstream is taken to have caused by its calls
 */
public record RetryCounts(long requests, long granted, long denied, double charged) {
  /** Nothing was counted yet. */
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

  /** Retries that were asked for. */
  public long requestedRetries() {
    return granted + denied;
  }

  /** What was added to earlier counts. */
  public RetryCounts since(RetryCounts earlier) {
    return new RetryCounts(
        requests - earlier.requests,
        granted - earlier.granted,
        denied - earlier.denied,
        charged - earlier.charged);
  }
}
