package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.approval.ProposalReport;

/** JSON response with a proposal and its difference from the accepted configuration. */
record ProposalAnswer(
    String team, String proposalDigest, String baseDigest, String configuration, String diff) {
  static ProposalAnswer of(ProposalReport report) {
    return new ProposalAnswer(
        report.team().value(),
        report.proposalDigest().hex(),
        report.baseDigest().map(Digest::hex).orElse(null),
        report.renderedYaml(),
        report.unifiedDiff());
  }
}
