/**
 * Cluster membership by the SWIM gossip protocol: which nodes exist and which upstreams they
 * announce.
 */
package io.foxtaildoor.process.membership;
