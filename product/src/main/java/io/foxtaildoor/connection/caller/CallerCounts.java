package io.foxtaildoor.connection.caller;

/**
 * Counters of the listener for callers.
 *
 * @param inFlight requests in progress
 * @param answered requests that received a complete response of an upstream
 * @param failed requests that were refused, failed or cancelled
 * @param retries attempts after the first
 * @param lateResponseEvents response events that arrived after their request or attempt had ended
 * @param refusedConnections connections closed at once because of the connection limit or a drain
 */
public record CallerCounts(
    int inFlight,
    long answered,
    long failed,
    long retries,
    long lateResponseEvents,
    long refusedConnections) {}
