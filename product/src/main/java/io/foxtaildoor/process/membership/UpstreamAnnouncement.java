package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ServiceId;

/**
 * Announcement of an upstream to its node.
 *
 * @param slots number of concurrent requests that the upstream serves
 * @param startedAtNanos start time of the upstream instance on the local monotonic clock, in
 *     nanoseconds
 */
public record UpstreamAnnouncement(ServiceId service, int slots, long startedAtNanos) {}
