/** Multiplexed TCP links between nodes: frames, handshake, heartbeats, flow control. */
package io.foxtaildoor.connection.link;
