package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import java.util.function.LongSupplier;

/**
 * Identity that the local node sends in a handshake.
 *
 * @param cluster name of the cluster; nodes of other clusters are refused
 * @param nodeId id of the local node
 * @param incarnation supplies the current incarnation number of the local node
 */
public record LinkIdentity(String cluster, NodeId nodeId, LongSupplier incarnation) {
  /** Creates the hello frame; an empty expected node id accepts any node. */
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
