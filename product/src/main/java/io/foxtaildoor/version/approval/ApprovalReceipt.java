package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.version.manifest.VersionStamp;

/**
 * Result of a successful approval.
 *
 * @param stamp the version created by this approval, or the current version if the proposal had
 *     already been accepted
 * @param acceptedBefore whether the proposal had already been accepted, so that no version was
 *     created
 */
public record ApprovalReceipt(TeamId team, VersionStamp stamp, boolean acceptedBefore) {}
