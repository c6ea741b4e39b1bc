package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.NodeId;
import java.time.Duration;

/**
 * State of one instance as observed by this node, for a status page; never sent to other nodes.
 *
 * @param inFlight number of this node's requests in progress on the instance
 * @param latency average time to the response head; without samples, the mean of the service
 * @param occupancy expected occupied fraction of the concurrency limit
 * @param share fraction of its full load that the instance gets at present
 * @param consecutiveFailures number of failures since the last response
 * @param ejected whether the instance is skipped until a probe succeeds
 */
public record InstanceStatus(
    NodeId node,
    int inFlight,
    Duration latency,
    double occupancy,
    double share,
    int consecutiveFailures,
    boolean ejected) {}
