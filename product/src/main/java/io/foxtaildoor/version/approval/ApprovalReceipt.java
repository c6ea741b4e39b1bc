package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.version.manifest.VersionStamp;

/**
 * An accepted configuration.
 *
 * @param stamp the version that it was accepted with, or the present one when it had been accepted
 *     before
 * @param acceptedBefore whether no new version was needed
 */
public record ApprovalReceipt(TeamId team, VersionStamp stamp, boolean acceptedBefore) {}
