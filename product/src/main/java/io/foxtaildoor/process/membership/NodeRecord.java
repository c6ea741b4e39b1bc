package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The published record of a node: identity, location, state and announced upstream.
 *
 * @param address TCP and UDP address of its peer listener
 * @param incarnation version of the record, raised only by the node itself: with each change of its
 *     record and to refute a suspicion
 * @param upstream upstream of the node; empty while none is announced
 */
public record NodeRecord(
    NodeId id,
    InetSocketAddress address,
    RegionId region,
    DataCentreId dataCentre,
    long incarnation,
    NodeState state,
    Optional<UpstreamAnnouncement> upstream) {}
