package io.foxtaildoor.process.membership;

import io.foxtaildoor.version.manifest.VersionStamp;

/**
 * What a node reports of itself for {@code config status}.
 *
 * @param heldVersion configuration version in force
 * @param rejectedVersion last version that failed its checks; 0 when there is none
 * @param rejection reason of the rejection; empty when there is none
 * @param invariantBreaches breaches of invariants since the start of the process
 */
public record NodeStatus(
    VersionStamp heldVersion, long rejectedVersion, String rejection, long invariantBreaches) {}
