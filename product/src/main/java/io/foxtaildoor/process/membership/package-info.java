/** Which nodes and upstreams exist: gossip between nodes and announcements of upstreams. */
package io.foxtaildoor.process.membership;
