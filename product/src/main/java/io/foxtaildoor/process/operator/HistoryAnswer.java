package io.foxtaildoor.process.operator;

import io.foxtaildoor.version.approval.RevisionSummary;
import java.time.Instant;
import java.util.List;

/** JSON response with the revisions of a questionnaire, newest first. */
record HistoryAnswer(List<Revision> revisions) {
  /** One revision of the questionnaire. */
  record Revision(
      long revision, String operator, String at, String proposalDigest, String questionnaire) {}

  static HistoryAnswer of(List<RevisionSummary> summaries) {
    return new HistoryAnswer(summaries.stream().map(HistoryAnswer::revision).toList());
  }

  private static Revision revision(RevisionSummary summary) {
    return new Revision(
        summary.revision(),
        summary.operator(),
        Instant.ofEpochMilli(summary.submittedAtEpochMillis()).toString(),
        summary.proposalDigest().hex(),
        summary.document());
  }
}
