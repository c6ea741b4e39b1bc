package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import java.util.Optional;

/**
 * A proposed configuration next to what is accepted.
 *
 * @param proposalDigest digest of the proposed configuration; an approval names it
 * @param baseDigest digest of the accepted configuration; an approval names it
 * @param renderedYaml the proposed configuration as YAML
 * @param unifiedDiff from the accepted configuration in unified form; empty when they are equal
 */
public record ProposalReport(
    TeamId team, Digest proposalDigest, Optional<Digest> baseDigest, String renderedYaml, String unifiedDiff) {}
