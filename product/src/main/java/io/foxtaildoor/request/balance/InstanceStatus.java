package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.NodeId;
import java.time.Duration;

/**
 * What this node observed of one instance, for a status page; never sent to other nodes.
 *
 * @param inFlight requests of this node in progress on the instance
 * @param latency average time to the head of an answer; the mean of the service without samples
 * @param occupancy expected share of the limit that is occupied, of 1
 * @param share share of a full load that the instance gets at present, of 1
 * @param consecutiveFailures failures since the last answer
 * @param ejected whether the instance is passed over until a probe succeeds
 */
public record InstanceStatus(
    NodeId node,
    int inFlight,
    Duration latency,
    double occupancy,
    double share,
    int consecutiveFailures,
    boolean ejected) {}
