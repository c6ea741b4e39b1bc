package io.foxtaildoor.process.membership;

import io.foxtaildoor.version.manifest.VersionStamp;

/**
 * Status that a node reports for {@code config status}.
 *
 * @param heldVersion configuration version in force on the node
 * @param rejectedVersion last configuration version that failed the checks; 0 if there is none
 * @param rejection reason for the rejection; empty if there is none
 * @param invariantBreaches number of invariant breaches since the start of the process
 */
public record NodeStatus(
    VersionStamp heldVersion, long rejectedVersion, String rejection, long invariantBreaches) {}
