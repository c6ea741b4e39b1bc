package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ServiceId;

/**
 * An upstream that announced itself to its node.
 *
 * @param slots concurrent requests it serves
 * @param startedAtNanos start of the instance on the local monotonic clock
 */
public record UpstreamAnnouncement(ServiceId service, int slots, long startedAtNanos) {}
