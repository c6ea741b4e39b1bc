package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import java.util.Optional;

/**
 * A proposed configuration compared with the accepted configuration.
 *
 * @param proposalDigest digest of the proposed configuration; an approval must name it
 * @param baseDigest digest of the accepted configuration; an approval must name it
 * @param renderedYaml the proposed configuration as YAML
 * @param unifiedDiff unified diff from the accepted to the proposed configuration; empty when they
 *     are equal
 */
public record ProposalReport(
    TeamId team,
    Digest proposalDigest,
    Optional<Digest> baseDigest,
    String renderedYaml,
    String unifiedDiff) {}
