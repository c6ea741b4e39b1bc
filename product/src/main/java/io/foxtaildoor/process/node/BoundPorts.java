package io.foxtaildoor.process.node;

/** Ports of a node's listeners after they are bound. */
public record BoundPorts(int caller, int peer, int operator) {}
