package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import java.util.Optional;

/**
 * A stored questionnaire.
 *
 * @param repeated whether an earlier identical request had stored it already
 */
public record SubmissionReceipt(
    TeamId team, long revision, Digest proposalDigest, Optional<Digest> baseDigest, boolean repeated) {}
