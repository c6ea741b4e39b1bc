package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.platform.SettledWriter;
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
 * One request to accept a proposal. Each attempt reads the head, checks the proposal against it,
 * writes the part and then replaces exactly that head. An attempt that loses to another team's
 * change is repeated from the start.
 */
final class ApproveOperation {
  private final ApprovalService.Parts parts;
  private final ApprovalEnvironment environment;
  private final ApprovalSettings settings;
  private final Operator operator;
  private final TeamId team;
  private final Digest proposal;
  private final Optional<Digest> base;
  private final long deadlineMillis;

  ApproveOperation(
      ApprovalService.Parts parts,
      Operator operator,
      TeamId team,
      Digest proposal,
      Optional<Digest> base) {
    this.parts = parts;
    this.environment = parts.environment();
    this.settings = parts.settings();
    this.operator = operator;
    this.team = team;
    this.proposal = proposal;
    this.base = base;
    this.deadlineMillis =
        environment.epochMillis().getAsLong() + settings.operationLimit().toMillis();
  }

  CompletableFuture<OperatorResult<ApprovalReceipt>> run() {
    return attempt(1);
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> attempt(int number) {
    // The part is written after this reading of the head; PartWriter depends on that order.
    return parts
        .accepted()
        .readHead()
        .thenCompose(
            head ->
                parts
                    .questionnaires()
                    .readOwn(operator, team)
                    .thenCompose(stored -> decide(number, head, stored.latest().orElseThrow())));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> decide(
      int number, AcceptedHead head, QuestionnaireRevision latest) {
    TeamState state = TeamState.of(team, latest, head);
    if (state.accepted().equals(Optional.of(proposal))) {
      republish(head);
      return done(head.manifest().stamp(), true);
    }
    if (!state.proposal().equals(proposal)) {
      return conflict(state, head, "the questionnaire changed since the review");
    }
    if (!state.accepted().equals(base)) {
      return conflict(state, head, "the accepted configuration changed since the review");
    }
    if (number > settings.maxAttempts()
        || environment.epochMillis().getAsLong() >= deadlineMillis) {
      return CompletableFuture.completedFuture(
          new OperatorResult.Failed<>(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "other teams' approvals kept coming first; nothing was accepted, try again"));
    }
    return parts
        .accepted()
        .loadParts(head.manifest().entries().values())
        .thenCompose(accepted -> accept(number, head, latest, accepted));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> conflict(
      TeamState state, AcceptedHead head, String reason) {
    String note =
        head.record().getRetiredPartsList().stream()
            .filter(part -> Digest.ofBytes(part.getDigest().toByteArray()).equals(proposal))
            .map(RetiredPart::getRetiredAtVersion)
            .map(version -> "; the proposal had been accepted and was replaced at " + version)
            .findFirst()
            .orElse("");
    return CompletableFuture.completedFuture(new OperatorResult.Conflict<>(state, reason + note));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> accept(
      int number,
      AcceptedHead head,
      QuestionnaireRevision latest,
      Map<Digest, byte[]> acceptedParts) {
    Proposal checked = ProposalChecks.read(latest.getDocument());
    if (!checked.digest().equals(proposal)) {
      return CompletableFuture.completedFuture(
          new OperatorResult.Failed<>(
              ErrorKind.BAD_CONFIGURATION,
              "this release generates another configuration than the one reviewed; submit again"));
    }
    ProposalChecks.requireMember(checked, operator);
    ProposalChecks.crossCheck(checked, head, acceptedParts);
    Map<Digest, byte[]> contents = new HashMap<>(acceptedParts);
    contents.put(proposal, checked.content());
    return parts
        .partWriter()
        .chooseRemovals(head, proposal, head.version() + 1, settings)
        .thenCompose(removals -> write(number, head, contents, removals));
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> write(
      int number, AcceptedHead head, Map<Digest, byte[]> contents, Map<Digest, Long> removals) {
    Approval approval =
        Approval.newBuilder()
            .setOperator(operator.name())
            .setMember(operator.member().value())
            .setTeam(team.value())
            .setAtEpochMillis(environment.epochMillis().getAsLong())
            .setWriteId(environment.uniqueId())
            .build();
    HeadUpdate update = HeadUpdate.next(head, team, proposal, approval, removals.keySet());
    // The same check as on every node; the cross-checks should leave nothing for it to find.
    ConfigurationSnapshot next =
        ConfigurationSnapshot.build(update.manifest(), contents, environment.held().get());
    String writeId = approval.getWriteId();
    return parts
        .partWriter()
        .write(proposal, contents.get(proposal))
        .exceptionallyCompose(
            error -> CompletableFuture.failedFuture(AuditNotes.withoutEffect(error)))
        .thenCompose(
            written ->
                parts
                    .writer()
                    .write(
                        AcceptedHead.KEY,
                        head.keyRevision(),
                        update.content(),
                        entry -> AcceptedHead.of(entry).hasWrite(writeId)))
        .whenComplete(
            (outcome, error) ->
                parts
                    .notes()
                    .unsettled(
                        AuditKind.APPROVAL, operator, team.value(), proposal.hex(), writeId, error))
        .thenComposeAsync(
            outcome ->
                outcome instanceof SettledWriter.Outcome.Written
                    ? confirmed(next, writeId, removals)
                    : attemptLater(number),
            environment.worker());
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> attemptLater(int number) {
    long mean = settings.retryDelay().toMillis() * Math.min(number, 8);
    Duration wait = Duration.ofMillis(environment.random().nextLong(2 * mean + 1));
    return environment
        .scheduler()
        .delay(wait)
        .thenComposeAsync(waited -> attempt(number + 1), environment.worker());
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> confirmed(
      ConfigurationSnapshot next, String writeId, Map<Digest, Long> removals) {
    parts.publish(next);
    parts
        .notes()
        .action(
            AuditKind.APPROVAL,
            operator,
            team.value(),
            next.stamp().version(),
            proposal.hex(),
            writeId,
            "");
    parts.partWriter().remove(removals);
    return done(next.stamp(), false);
  }

  /** Distributes a version that this node does not hold, for it may come from a lost answer. */
  private void republish(AcceptedHead head) {
    if (!head.manifest().stamp().isNewerThan(environment.held().get().stamp())) {
      return;
    }
    var unused =
        parts
            .accepted()
            .loadParts(head.manifest().entries().values())
            .thenAccept(
                contents -> parts.publish(ConfigurationSnapshot.build(head.manifest(), contents)))
            .exceptionally(error -> null);
  }

  private CompletableFuture<OperatorResult<ApprovalReceipt>> done(
      VersionStamp stamp, boolean acceptedBefore) {
    return CompletableFuture.completedFuture(
        new OperatorResult.Done<>(new ApprovalReceipt(team, stamp, acceptedBefore)));
  }
}
