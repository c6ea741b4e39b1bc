package io.foxtaildoor.connection.upstream;

/**
 * Numbers of requests that were sent to the upstream since the node started.
 *
 * @param first requests that no upstream can have received before
 * @param repeated requests of which an earlier attempt reached an upstream or may have reached one
 */
public record Arrivals(long first, long repeated) {}
