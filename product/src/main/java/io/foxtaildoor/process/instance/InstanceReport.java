package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ServiceId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * What an upstream instance says of itself.
 *
 * @param capacity requests that it serves at once
 * @param leaving whether it takes no new requests any more
 * @param remainingWarmUp time for which it is still slow after its start
 * @param sequence grows with each report of one incarnation
 */
public record InstanceReport(
    Incarnation incarnation,
    ServiceId service,
    InetSocketAddress address,
    int capacity,
    boolean leaving,
    Duration remainingWarmUp,
    long sequence) {}
