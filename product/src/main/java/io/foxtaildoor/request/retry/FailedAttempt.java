package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;

/**
 * Failed attempt of a request, as input to the retry decision.
 *
 * @param notRun whether the upstream definitely did not run the request in this attempt
 * @param idempotent whether the route declares its requests idempotent
 * @param depth position in the call chain; 0 is a request from outside the mesh
 * @param attempt number of the failed attempt, starting at 1
 * @param upstreamAttempts number of attempts that reached or may have reached an upstream,
 *     including this one
 * @param maxUpstreamAttempts maximum number of upstreams that one request may reach; 0 means that
 *     only {@link RetrySettings#maxAttempts} applies
 * @param remainingNanos nanoseconds until the deadline
 * @param bodyReplayable whether the part of the body that was already sent is still buffered as a
 *     whole
 */
public record FailedAttempt(
    ErrorKind kind,
    boolean notRun,
    boolean idempotent,
    int depth,
    int attempt,
    int upstreamAttempts,
    int maxUpstreamAttempts,
    long remainingNanos,
    boolean bodyReplayable) {}
