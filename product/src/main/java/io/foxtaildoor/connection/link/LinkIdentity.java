package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import java.util.function.LongSupplier;

/**
 * How the local node presents itself in a handshake.
 *
 * @param cluster nodes of other clusters are refused
 * @param incarnation the current incarnation of the local node
 */
public record LinkIdentity(String cluster, NodeId nodeId, LongSupplier incarnation) {
  Hello hello(LinkPurpose purpose, String expectedNodeId) {
    return Hello.newBuilder()
        .setMinProtocol(Handshake.PROTOCOL_VERSION)
        .setMaxProtocol(Handshake.PROTOCOL_VERSION)
        .setCluster(cluster)
        .setNodeId(nodeId.value())
        .setIncarnation(incarnation.getAsLong())
        .setPurpose(purpose)
        .setExpectedNodeId(expectedNodeId)
        .build();
  }
}
