package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * What is known of one node.
 *
 * @param address TCP and UDP address of its peer listener
 * @param incarnation raised by the node itself to refute a suspicion
 * @param upstream its upstream; empty while none has announced itself
 */
public record NodeRecord(
    NodeId id,
    InetSocketAddress address,
    RegionId region,
    DataCentreId dataCentre,
    long incarnation,
    NodeState state,
    Optional<UpstreamAnnouncement> upstream) {}
