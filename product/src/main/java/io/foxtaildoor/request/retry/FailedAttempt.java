package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;

/**
 * What the retry decision is made from.
 *
 * @param notRun whether the request definitely did not run in this attempt
 * @param idempotent whether the route declares the work idempotent
 * @param depth position in the call chain; 0 is a call from outside the mesh
 * @param attempt number of the failed attempt, from 1
 * @param arrivals attempts that reached an upstream or may have, this one included
 * @param maxUpstreamAttempts upstreams that one request may reach; 0 leaves it to the settings
 * @param remainingNanos time left of the deadline
 * @param bodyReplayable whether all that was sent of the body is still held
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
