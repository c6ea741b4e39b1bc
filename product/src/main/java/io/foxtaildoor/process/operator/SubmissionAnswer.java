package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.approval.SubmissionReceipt;

/** JSON response that confirms a stored questionnaire. */
record SubmissionAnswer(
    String team, long revision, String proposalDigest, String baseDigest, boolean repeated) {
  static SubmissionAnswer of(SubmissionReceipt receipt) {
    return new SubmissionAnswer(
        receipt.team().value(),
        receipt.revision(),
        receipt.proposalDigest().hex(),
        receipt.baseDigest().map(Digest::hex).orElse(null),
        receipt.repeated());
  }
}
