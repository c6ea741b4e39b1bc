package io.foxtaildoor.version.approval;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.protocol.QuestionnaireRevision;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** One request to submit or amend a questionnaire. */
final class SubmitOperation {
  private final ApprovalEnvironment environment;
  private final QuestionnaireStore questionnaires;
  private final AcceptedConfigurationReader acceptedReader;
  private final AuditRecorder auditRecorder;
  private final Operator operator;
  private final TeamId team;
  private final long expectedRevision;
  private final Proposal proposal;
  private final String document;

  /**
   * Creates a request.
   *
   * @param expectedRevision the revision to amend; 0 for the first submission
   */
  SubmitOperation(
      ApprovalService.Collaborators collaborators,
      Operator operator,
      TeamId team,
      long expectedRevision,
      String document) {
    this.environment = collaborators.environment();
    this.questionnaires = collaborators.questionnaires();
    this.acceptedReader = collaborators.acceptedReader();
    this.auditRecorder = collaborators.auditRecorder();
    this.operator = operator;
    this.team = team;
    this.expectedRevision = expectedRevision;
    this.document = document;
    this.proposal = ProposalChecks.readProposal(document);
    ProposalChecks.requireTeam(proposal, team);
    ProposalChecks.requireMember(proposal, operator);
  }

  CompletableFuture<OperatorResult<SubmissionReceipt>> run() {
    return questionnaires
        .read(team)
        .thenCompose(
            stored ->
                acceptedReader.readHead().thenCompose(head -> storeIfUnchanged(stored, head)));
  }

  private CompletableFuture<OperatorResult<SubmissionReceipt>> storeIfUnchanged(
      QuestionnaireStore.StoredQuestionnaire stored, AcceptedHead head) {
    QuestionnaireStore.requireNotOwnedByAnotherMember(stored, operator, team);
    Optional<QuestionnaireRevision> earlier =
        stored.record().getRevisionsList().stream().filter(this::isSameRequest).findFirst();
    if (earlier.isPresent()) {
      return done(earlier.get().getRevision(), head, true);
    }
    long currentRevision = stored.latest().map(QuestionnaireRevision::getRevision).orElse(0L);
    if (currentRevision != expectedRevision) {
      return CompletableFuture.completedFuture(conflict(stored, head));
    }
    return acceptedReader
        .loadParts(head.manifest().entries().values())
        .thenCompose(
            parts -> {
              ProposalChecks.crossCheck(proposal, head, parts);
              return writeRevision(stored, head);
            });
  }

  /** Whether a stored revision was created by an earlier, identical request. */
  private boolean isSameRequest(QuestionnaireRevision revision) {
    return revision.getRevision() == expectedRevision + 1
        && revision.getOperator().equals(operator.name())
        && revision.getDocument().equals(document);
  }

  private OperatorResult<SubmissionReceipt> conflict(
      QuestionnaireStore.StoredQuestionnaire stored, AcceptedHead head) {
    if (stored.latest().isEmpty()) {
      return new OperatorResult.Failed<>(
          ErrorKind.NOT_FOUND, "team " + team + " has no questionnaire");
    }
    TeamState state = TeamState.of(team, stored.latest().get(), head);
    String expected = expectedRevision == 0 ? "no questionnaire" : "revision " + expectedRevision;
    return new OperatorResult.Conflict<>(
        state,
        "the request expects " + expected + ", but the current revision is " + state.revision());
  }

  private CompletableFuture<OperatorResult<SubmissionReceipt>> writeRevision(
      QuestionnaireStore.StoredQuestionnaire stored, AcceptedHead head) {
    QuestionnaireRevision revision =
        QuestionnaireRevision.newBuilder()
            .setRevision(expectedRevision + 1)
            .setDocument(document)
            .setOperator(operator.name())
            .setMember(operator.member().value())
            .setAtEpochMillis(environment.epochMillis().getAsLong())
            .setProposalDigest(ByteString.copyFrom(proposal.digest().bytes()))
            .setWriteId(environment.uniqueId())
            .build();
    AuditKind kind = expectedRevision == 0 ? AuditKind.SUBMISSION : AuditKind.AMENDMENT;
    String proposalDigest = proposal.digest().hex();
    String writeId = revision.getWriteId();
    return questionnaires
        .append(team, stored, revision)
        .whenComplete(
            (written, error) ->
                auditRecorder.recordUnknownOutcome(
                    kind, operator, team.value(), proposalDigest, writeId, error))
        .thenComposeAsync(
            written -> {
              if (written.isEmpty()) {
                return run();
              }
              auditRecorder.recordAction(
                  kind,
                  operator,
                  team.value(),
                  revision.getRevision(),
                  proposalDigest,
                  writeId,
                  "");
              return done(revision.getRevision(), head, false);
            },
            environment.worker());
  }

  private CompletableFuture<OperatorResult<SubmissionReceipt>> done(
      long revision, AcceptedHead head, boolean repeated) {
    return CompletableFuture.completedFuture(
        new OperatorResult.Done<>(
            new SubmissionReceipt(
                team, revision, proposal.digest(), head.partDigest(team), repeated)));
  }
}
