package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditCursor;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.audit.AuditPage;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.version.generation.ConfigurationRenderer;
import io.foxtaildoor.version.generation.UnifiedDiff;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Handles operators' requests to submit, review and approve questionnaires. Any node can serve
 * these requests, because all state is stored on the platform. Returned futures never complete
 * exceptionally; errors are reported as an {@link OperatorResult}.
 */
public final class ApprovalService {
  private static final System.Logger LOG = System.getLogger(ApprovalService.class.getName());

  /** The objects that the service shares with its operations. */
  record Collaborators(
      ApprovalEnvironment environment,
      ApprovalSettings settings,
      QuestionnaireStore questionnaires,
      AcceptedConfigurationReader acceptedReader,
      ReconcilingWriter writer,
      PartWriter partWriter,
      AuditRecorder auditRecorder,
      BiConsumer<Manifest, Map<Digest, byte[]>> versionConsumer) {
    /** Passes a confirmed version on for distribution; logs a failure instead of throwing. */
    void publish(ConfigurationSnapshot configuration) {
      try {
        versionConsumer.accept(configuration.manifest(), configuration.parts());
      } catch (RuntimeException e) {
        LOG.log(
            System.Logger.Level.ERROR,
            "a confirmed version could not be passed on for distribution",
            e);
      }
    }
  }

  private final ApprovalEnvironment environment;
  private final OperatorDirectory operators;
  private final Collaborators collaborators;

  /**
   * Creates a service.
   *
   * @param versionConsumer called on the worker executor with each confirmed version and the
   *     content of all its parts; may be called more than once with the same version
   */
  public ApprovalService(
      ApprovalEnvironment environment,
      ApprovalSettings settings,
      BiConsumer<Manifest, Map<Digest, byte[]>> versionConsumer) {
    this.environment = environment;
    PlatformReads reads = environment.reads();
    ReconcilingWriter writer = environment.writer();
    this.operators = new OperatorDirectory(reads, writer);
    this.collaborators =
        new Collaborators(
            environment,
            settings,
            new QuestionnaireStore(reads, writer, settings.historyRevisions()),
            new AcceptedConfigurationReader(reads, environment.held(), settings.cacheBytes()),
            writer,
            new PartWriter(environment.platform(), reads, writer),
            new AuditRecorder(environment),
            versionConsumer);
  }

  /** Authenticates the operator by credentials of the form {@code <name>:<token>}. */
  public CompletableFuture<OperatorResult<Operator>> authenticate(String credentials) {
    String claimedName = credentials.substring(0, Math.max(0, credentials.indexOf(':')));
    String name = Operator.isValidName(claimedName) ? claimedName : "";
    return run(() -> operators.authenticate(credentials).thenApply(OperatorResult.Done::new))
        .thenApply(result -> recordRefusal(result, name, "", "", "authenticate"));
  }

  /**
   * Creates an operator on behalf of an administrator. Repeating an identical request succeeds; an
   * existing name with another member or token fails with {@code CONFLICT}.
   */
  public CompletableFuture<OperatorResult<Operator>> bootstrap(
      Operator operator, Digest tokenHash) {
    String writeId = environment.uniqueId();
    return run(
        () ->
            operators
                .create(operator, tokenHash, environment.epochMillis().getAsLong(), writeId)
                .whenComplete(
                    (done, error) -> {
                      AuditKind kind = AuditKind.OPERATOR_CREATION;
                      if (error == null) {
                        collaborators
                            .auditRecorder()
                            .recordAction(kind, operator, "", 0, "", writeId, "");
                      } else {
                        collaborators
                            .auditRecorder()
                            .recordUnknownOutcome(kind, operator, "", "", writeId, error);
                      }
                    })
                .thenApply(OperatorResult.Done::new));
  }

  /** Validates a document and reports what it would change, without storing anything. */
  public CompletableFuture<OperatorResult<ProposalReport>> check(
      Operator operator, String document) {
    return run(
        () -> {
          Proposal proposal = ProposalChecks.readProposal(document);
          ProposalChecks.requireMember(proposal, operator);
          return collaborators
              .acceptedReader()
              .readHead()
              .thenCompose(
                  head ->
                      collaborators
                          .acceptedReader()
                          .loadParts(head.manifest().entries().values())
                          .thenApply(
                              contents -> {
                                ProposalChecks.crossCheck(proposal, head, contents);
                                return report(proposal, head, contents);
                              }));
        });
  }

  private static OperatorResult<ProposalReport> report(
      Proposal proposal, AcceptedHead head, Map<Digest, byte[]> contents) {
    TeamId team = proposal.questionnaire().team();
    Optional<Digest> base = head.partDigest(team);
    String before =
        base.map(contents::get)
            .map(ProposalChecks::parsePart)
            .map(ConfigurationRenderer::render)
            .orElse("");
    String after = ConfigurationRenderer.render(proposal.configuration());
    String difference =
        UnifiedDiff.between(
            "accepted " + base.map(Digest::abbreviated).orElse("none"),
            before,
            "proposed " + proposal.digest().abbreviated(),
            after);
    return new OperatorResult.Done<>(
        new ProposalReport(team, proposal.digest(), base, after, difference));
  }

  /**
   * Submits a new questionnaire or amends the stored one.
   *
   * @param expectedRevision the revision to amend; empty for the first submission
   */
  public CompletableFuture<OperatorResult<SubmissionReceipt>> submit(
      Operator operator, TeamId team, OptionalLong expectedRevision, String document) {
    return run(() ->
            new SubmitOperation(collaborators, operator, team, expectedRevision.orElse(0), document)
                .run())
        .thenApply(result -> recordRefusal(result, operator, team, "submit"));
  }

  /** Returns the current questionnaire of a team and the digest of its accepted configuration. */
  public CompletableFuture<OperatorResult<TeamState>> show(Operator operator, TeamId team) {
    return run(
        () ->
            collaborators
                .questionnaires()
                .readOwned(operator, team)
                .thenCompose(
                    stored ->
                        collaborators
                            .acceptedReader()
                            .readHead()
                            .thenApply(
                                head ->
                                    new OperatorResult.Done<>(
                                        TeamState.of(team, stored.latest().orElseThrow(), head)))));
  }

  /** Lists the kept revisions of a team's questionnaire, newest first. */
  public CompletableFuture<OperatorResult<List<RevisionSummary>>> history(
      Operator operator, TeamId team) {
    return run(
        () ->
            collaborators
                .questionnaires()
                .readOwned(operator, team)
                .thenApply(
                    stored -> {
                      List<RevisionSummary> revisions =
                          new ArrayList<>(
                              stored.record().getRevisionsList().stream()
                                  .map(RevisionSummary::of)
                                  .toList());
                      Collections.reverse(revisions);
                      return new OperatorResult.Done<>(List.copyOf(revisions));
                    }));
  }

  /** Compares a team's current questionnaire with its accepted configuration. */
  public CompletableFuture<OperatorResult<ProposalReport>> diff(Operator operator, TeamId team) {
    return run(
        () ->
            collaborators
                .questionnaires()
                .readOwned(operator, team)
                .thenCompose(
                    stored -> {
                      String document = stored.latest().orElseThrow().getDocument();
                      Proposal proposal = ProposalChecks.readProposal(document);
                      return collaborators
                          .acceptedReader()
                          .readHead()
                          .thenCompose(head -> diff(proposal, head));
                    }));
  }

  private CompletableFuture<OperatorResult<ProposalReport>> diff(
      Proposal proposal, AcceptedHead head) {
    List<Digest> base = head.partDigest(proposal.questionnaire().team()).stream().toList();
    return collaborators
        .acceptedReader()
        .loadParts(base)
        .thenApply(contents -> report(proposal, head, contents));
  }

  /**
   * Accepts a proposal that an operator has reviewed.
   *
   * @param proposal digest of the proposed configuration
   * @param base digest of the accepted configuration that the proposal was compared with; empty if
   *     none was accepted
   */
  public CompletableFuture<OperatorResult<ApprovalReceipt>> approve(
      Operator operator, TeamId team, Digest proposal, Optional<Digest> base) {
    return run(() -> new ApproveOperation(collaborators, operator, team, proposal, base).run())
        .thenApply(result -> recordRefusal(result, operator, team, "approve"));
  }

  /** Reads a page of the audit trail, restricted to entries of the operator's member. */
  public CompletableFuture<OperatorResult<AuditPage>> audit(
      Operator operator, Optional<AuditCursor> before, int limit) {
    return run(
        () ->
            environment
                .audit()
                .page(before, limit, Optional.of(operator.member()))
                .thenApply(OperatorResult.Done::new));
  }

  private <T> CompletableFuture<OperatorResult<T>> run(
      Supplier<CompletableFuture<OperatorResult<T>>> operation) {
    return CompletableFuture.completedFuture(operation)
        .thenComposeAsync(Supplier::get, environment.worker())
        .exceptionally(Failures::toResult);
  }

  private <T> OperatorResult<T> recordRefusal(
      OperatorResult<T> result, Operator operator, TeamId team, String action) {
    return recordRefusal(result, operator.name(), operator.member().value(), team.value(), action);
  }

  private <T> OperatorResult<T> recordRefusal(
      OperatorResult<T> result, String operator, String member, String team, String action) {
    ErrorKind kind = result.errorKind();
    // Failures of the platform are not refusals, and recording them would add to its load.
    if (kind != null
        && kind != ErrorKind.PLATFORM_UNAVAILABLE
        && kind != ErrorKind.PLATFORM_OUTCOME_UNKNOWN
        && kind != ErrorKind.OVERLOADED) {
      collaborators
          .auditRecorder()
          .recordRefusal(operator, member, team, action + ": " + detail(result, kind));
    }
    return result;
  }

  private static String detail(OperatorResult<?> result, ErrorKind kind) {
    if (result instanceof OperatorResult.Invalid<?> invalid) {
      return invalid.problems().size() + " problems, first: " + invalid.problems().get(0);
    }
    if (result instanceof OperatorResult.Conflict<?> conflict) {
      return conflict.message();
    }
    return result instanceof OperatorResult.Failed<?> failed ? failed.message() : kind.name();
  }
}
