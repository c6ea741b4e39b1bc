package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.protocol.Approval;
import io.foxtaildoor.protocol.QuestionnaireRevision;
import io.foxtaildoor.protocol.RetiredPart;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One request to accept a proposal. Each attempt reads the head, validates the proposal against it,
 * writes the part and then replaces the head with a compare-and-set on the revision that was read.
 * If the approval of another team replaces the head first, the attempt is repeated from the start.
 */
final class ApproveOperation {
  private final ApprovalService.Collaborators collaborators;
  private final ApprovalEnvironment environment;
  private final ApprovalSettings settings;
  private final Operator operator;
  private final TeamId team;
  private final Digest proposalDigest;
  private final Optional<Digest> baseDigest;
  private final long deadlineMillis;

  ApproveOperation(
      ApprovalService.Collaborators collaborators,
      Operator operator,
      TeamId team,
      Digest proposalDigest,
      Optional<Digest> baseDigest) {
    this.collaborators = collaborators;
    this.environment = collaborators.environment();
    this.settings = collaborators.settings();
    this.operator = operator;
    this.team = team;
    this.proposalDigest = proposalDigest;
    this.baseDigest = baseDigest;
    this.deadlineMillis =
        environment.epochMillis().getAsLong() + settings.operationLimit().toMillis();
  }

  CompletableFuture<OperatorResult<ApprovalReceipt>> run() {
    return attempt(1);
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> attempt(int attemptNumber) {
    // PartWriter relies on the part being written after this read of the head.
    return collaborators
        .acceptedReader()
        .readHead()
        .thenCompose(
            head ->
                collaborators
                    .questionnaires()
                    .readOwned(operator, team)
                    .thenCompose(
                        stored ->
                            acceptIfUnchanged(attemptNumber, head, stored.latest().orElseThrow())));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> acceptIfUnchanged(
      int attemptNumber, AcceptedHead head, QuestionnaireRevision latest) {
    TeamState state = TeamState.of(team, latest, head);
    if (state.acceptedDigest().equals(Optional.of(proposalDigest))) {
      republish(head);
      return done(head.manifest().stamp(), true);
    }
    if (!state.proposalDigest().equals(proposalDigest)) {
      return conflict(state, head, "the questionnaire changed since the review");
    }
    if (!state.acceptedDigest().equals(baseDigest)) {
      return conflict(state, head, "the accepted configuration changed since the review");
    }
    if (attemptNumber > settings.maxAttempts()
        || environment.epochMillis().getAsLong() >= deadlineMillis) {
      return CompletableFuture.completedFuture(
          new OperatorResult.Failed<>(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "approvals of other teams were written first in every attempt;"
                  + " nothing was accepted, try again"));
    }
    return collaborators
        .acceptedReader()
        .loadParts(head.manifest().entries().values())
        .thenCompose(
            acceptedParts -> validateAndAccept(attemptNumber, head, latest, acceptedParts));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> conflict(
      TeamState state, AcceptedHead head, String reason) {
    String earlierAcceptance =
        head.record().getRetiredPartsList().stream()
            .filter(part -> Digest.ofBytes(part.getDigest().toByteArray()).equals(proposalDigest))
            .map(RetiredPart::getRetiredAtVersion)
            .map(
                version ->
                    "; the proposal was accepted earlier and was replaced in version " + version)
            .findFirst()
            .orElse("");
    return CompletableFuture.completedFuture(
        new OperatorResult.Conflict<>(state, reason + earlierAcceptance));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> validateAndAccept(
      int attemptNumber,
      AcceptedHead head,
      QuestionnaireRevision latest,
      Map<Digest, byte[]> acceptedParts) {
    Proposal currentProposal = ProposalChecks.readProposal(latest.getDocument());
    if (!currentProposal.digest().equals(proposalDigest)) {
      return CompletableFuture.completedFuture(
          new OperatorResult.Failed<>(
              ErrorKind.BAD_CONFIGURATION,
              "this release generates a different configuration than the one that was reviewed;"
                  + " submit the questionnaire again"));
    }
    ProposalChecks.requireMember(currentProposal, operator);
    ProposalChecks.crossCheck(currentProposal, head, acceptedParts);
    Map<Digest, byte[]> contents = new HashMap<>(acceptedParts);
    contents.put(proposalDigest, currentProposal.content());
    return collaborators
        .partWriter()
        .chooseRemovals(head, proposalDigest, head.version() + 1, settings)
        .thenCompose(removals -> writePartAndHead(attemptNumber, head, contents, removals));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> writePartAndHead(
      int attemptNumber,
      AcceptedHead head,
      Map<Digest, byte[]> contents,
      Map<Digest, Long> removals) {
    Approval approval =
        Approval.newBuilder()
            .setOperator(operator.name())
            .setMember(operator.member().value())
            .setTeam(team.value())
            .setAtEpochMillis(environment.epochMillis().getAsLong())
            .setWriteId(environment.uniqueId())
            .build();
    HeadUpdate update = HeadUpdate.next(head, team, proposalDigest, approval, removals.keySet());
    // Every node validates the new version in the same way. After the cross-checks this should find
    // no problems.
    ConfigurationSnapshot nextVersion =
        ConfigurationSnapshot.build(update.manifest(), contents, environment.held().get());
    String writeId = approval.getWriteId();
    return collaborators
        .partWriter()
        .write(proposalDigest, contents.get(proposalDigest))
        .exceptionallyCompose(
            error -> CompletableFuture.failedFuture(AuditRecorder.toUnavailable(error)))
        .thenCompose(
            written ->
                collaborators
                    .writer()
                    .write(
                        AcceptedHead.KEY,
                        head.keyRevision(),
                        update.content(),
                        entry -> AcceptedHead.parse(entry).hasRecentWrite(writeId)))
        .whenComplete(
            (outcome, error) ->
                collaborators
                    .auditRecorder()
                    .recordUnknownOutcome(
                        AuditKind.APPROVAL,
                        operator,
                        team.value(),
                        proposalDigest.hex(),
                        writeId,
                        error))
        .thenComposeAsync(
            outcome ->
                outcome instanceof ReconcilingWriter.Outcome.Written
                    ? onConfirmed(nextVersion, writeId, removals)
                    : retryAfterDelay(attemptNumber),
            environment.worker());
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> retryAfterDelay(int attemptNumber) {
    long meanMillis = settings.retryDelay().toMillis() * Math.min(attemptNumber, 8);
    Duration delay = Duration.ofMillis(environment.random().nextLong(2 * meanMillis + 1));
    return environment
        .scheduler()
        .delay(delay)
        .thenComposeAsync(waited -> attempt(attemptNumber + 1), environment.worker());
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> onConfirmed(
      ConfigurationSnapshot nextVersion, String writeId, Map<Digest, Long> removals) {
    collaborators.publish(nextVersion);
    collaborators
        .auditRecorder()
        .recordAction(
            AuditKind.APPROVAL,
            operator,
            team.value(),
            nextVersion.stamp().version(),
            proposalDigest.hex(),
            writeId,
            "");
    collaborators.partWriter().removeParts(removals);
    return done(nextVersion.stamp(), false);
  }

  /**
   * Distributes an accepted version that is newer than the version in force on this node. The
   * answer to the write that created it may have been lost, so that no node has distributed it yet.
   */
  private void republish(AcceptedHead head) {
    if (!head.manifest().stamp().isNewerThan(environment.held().get().stamp())) {
      return;
    }
    var unused =
        collaborators
            .acceptedReader()
            .loadParts(head.manifest().entries().values())
            .thenAccept(
                contents ->
                    collaborators.publish(ConfigurationSnapshot.build(head.manifest(), contents)))
            .exceptionally(error -> null);
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> done(
      VersionStamp stamp, boolean acceptedBefore) {
    return CompletableFuture.completedFuture(
        new OperatorResult.Done<>(new ApprovalReceipt(team, stamp, acceptedBefore)));
  }
}
