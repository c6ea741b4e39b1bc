package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.protocol.QuestionnaireRevision;

/** One revision in the history of a team's questionnaire. */
public record RevisionSummary(
    long revision,
    String operator,
    long submittedAtEpochMillis,
    Digest proposalDigest,
    String document) {
  static RevisionSummary of(QuestionnaireRevision revision) {
    return new RevisionSummary(
        revision.getRevision(),
        revision.getOperator(),
        revision.getAtEpochMillis(),
        Digest.ofBytes(revision.getProposalDigest().toByteArray()),
        revision.getDocument());
  }
}
