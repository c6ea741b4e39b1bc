package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import java.util.Optional;

/**
 * Result of a successful submission or amendment.
 *
 * @param repeated whether an earlier, identical request had already stored the questionnaire
 */
public record SubmissionReceipt(
    TeamId team,
    long revision,
    Digest proposalDigest,
    Optional<Digest> baseDigest,
    boolean repeated) {}
