package io.foxtaildoor.connection.caller;

/**
 * Counts of the listener for callers.
 *
 * @param inFlight requests in progress
 * @param answered requests that got a whole answer of an upstream
 * @param failed requests that were refused, failed or cancelled
 * @param retries attempts after the first
 * @param lateResponseEvents events of answers that nobody waited for any more
 * @param refusedConnections connections above the limit
 */
public record CallerCounts(
    int inFlight,
    long answered,
    long failed,
    long retries,
    long lateResponseEvents,
    long refusedConnections) {}
