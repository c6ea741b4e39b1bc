package io.foxtaildoor.request.retry;

/**
 * Requests to a service and retries of them at one node since its start.
 *
 * @param fromClients requests of clients
 * @param fromUpstreams calls of upstreams
 * @param granted retries that the budget admitted
 * @param denied retries that the budget refused
 */
public record RetryCounts(long fromClients, long fromUpstreams, long granted, long denied) {
  /** Nothing was counted yet. */
  public static final RetryCounts NONE = new RetryCounts(0, 0, 0, 0);

  RetryCounts plusRequest(RequestOrigin origin) {
    return origin == RequestOrigin.CLIENT
        ? new RetryCounts(fromClients + 1, fromUpstreams, granted, denied)
        : new RetryCounts(fromClients, fromUpstreams + 1, granted, denied);
  }

  RetryCounts plusGranted() {
    return new RetryCounts(fromClients, fromUpstreams, granted + 1, denied);
  }

  RetryCounts plusDenied() {
    return new RetryCounts(fromClients, fromUpstreams, granted, denied + 1);
  }

  /** Retries that were asked for. */
  public long asked() {
    return granted + denied;
  }

  /** What was added to earlier counts. */
  public RetryCounts since(RetryCounts earlier) {
    return new RetryCounts(
        fromClients - earlier.fromClients,
        fromUpstreams - earlier.fromUpstreams,
        granted - earlier.granted,
        denied - earlier.denied);
  }
}
