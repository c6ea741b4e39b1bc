package io.foxtaildoor.process.node;

/** Ports on which a node's listeners are bound. */
public record BoundPorts(int caller, int peer, int operator) {}
