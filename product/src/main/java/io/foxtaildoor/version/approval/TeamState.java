package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.QuestionnaireRevision;
import java.util.Optional;

/**
 * A team's current questionnaire and the digest of its accepted configuration.
 *
 * @param revision revision of the questionnaire; an amendment must name it
 * @param document YAML text of the questionnaire
 * @param proposalDigest digest of the configuration generated from the document; an approval must
 *     name it
 * @param acceptedDigest digest of the accepted configuration, which an approval must name as its
 *     base
 * @param version current version of the configuration of all teams; 0 before the first version
 */
public record TeamState(
    TeamId team,
    MemberId member,
    long revision,
    String document,
    Digest proposalDigest,
    String submittedBy,
    long submittedAtEpochMillis,
    Optional<Digest> acceptedDigest,
    long version) {
  static TeamState of(TeamId team, QuestionnaireRevision latest, AcceptedHead head) {
    return new TeamState(
        team,
        new MemberId(latest.getMember()),
        latest.getRevision(),
        latest.getDocument(),
        Digest.ofBytes(latest.getProposalDigest().toByteArray()),
        latest.getOperator(),
        latest.getAtEpochMillis(),
        head.partDigest(team),
        head.version());
  }
}
