package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ServiceId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Status report that an upstream instance sends to the node on its host.
 *
 * @param capacity maximum number of requests that the instance serves concurrently
 * @param leaving whether the instance is shutting down and accepts no new requests
 * @param remainingWarmUp time for which the instance will still respond slowly because it started
 *     recently
 * @param sequence increases with each report of the same incarnation
 */
public record InstanceReport(
    Incarnation incarnation,
    ServiceId service,
    InetSocketAddress address,
    int capacity,
    boolean leaving,
    Duration remainingWarmUp,
    long sequence) {}
