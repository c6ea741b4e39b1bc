package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.QuestionnaireRevision;
import java.util.Optional;

/**
 * The present questionnaire of a team and what is accepted of it.
 *
 * @param revision of the questionnaire; an amendment names it
 * @param document YAML text of the questionnaire
 * @param proposalDigest digest of the configuration that the document generates; an approval names it
 * @param acceptedDigest digest of the accepted configuration, the base of an approval
 * @param version present version of the whole configuration; 0 before the first
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
