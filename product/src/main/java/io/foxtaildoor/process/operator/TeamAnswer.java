package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.approval.TeamState;
import java.time.Instant;

/** JSON response with a team's current questionnaire and its accepted configuration. */
record TeamAnswer(
    String team,
    String member,
    long revision,
    String questionnaire,
    String proposalDigest,
    String submittedBy,
    String at,
    String acceptedDigest,
    long version) {
  static TeamAnswer of(TeamState state) {
    return new TeamAnswer(
        state.team().value(),
        state.member().value(),
        state.revision(),
        state.document(),
        state.proposalDigest().hex(),
        state.submittedBy(),
        Instant.ofEpochMilli(state.submittedAtEpochMillis()).toString(),
        state.acceptedDigest().map(Digest::hex).orElse(null),
        state.version());
  }
}
