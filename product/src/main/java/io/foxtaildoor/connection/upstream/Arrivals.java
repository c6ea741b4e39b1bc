package io.foxtaildoor.connection.upstream;

/**
 * Requests that were handed to the upstream since the start of the node.
 *
 * @param first those that no upstream can have seen before
 * @param repeated those of which an earlier attempt reached an upstream or may have
 */
public record Arrivals(long first, long repeated) {}
