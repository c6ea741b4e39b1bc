package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditCursor;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.audit.AuditPage;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.SettledWriter;
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
 * What operators do with questionnaires and configurations. Any node offers it; all state is on the
 * platform. No future completes exceptionally.
 */
public final class ApprovalService {
  private static final System.Logger LOG = System.getLogger(ApprovalService.class.getName());

  /** The collaborators of one service. */
  record Parts(
      ApprovalEnvironment environment,
      ApprovalSettings settings,
      QuestionnaireStore questionnaires,
      AcceptedStore accepted,
      SettledWriter writer,
      PartWriter partWriter,
      AuditNotes notes,
      BiConsumer<Manifest, Map<Digest, byte[]>> published) {
    /** Hands a confirmed version to whoever distributes it. */
    void publish(ConfigurationSnapshot configuration) {
      try {
        published.accept(configuration.manifest(), configuration.parts());
      } catch (RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "a confirmed version was not distributed", e);
      }
    }
  }

  private final ApprovalEnvironment environment;
  private final OperatorDirectory operators;
  private final Parts parts;

  /**
   * Creates a service.
   *
   * @param published called on the worker with each confirmed version and the bytes of all its
   *     parts; it may be called again with a version that was confirmed before
   */
  public ApprovalService(
      ApprovalEnvironment environment,
      ApprovalSettings settings,
      BiConsumer<Manifest, Map<Digest, byte[]>> published) {
    this.environment = environment;
    PlatformReads reads = environment.reads();
    SettledWriter writer = environment.writer();
    this.operators = new OperatorDirectory(reads, writer);
    this.parts =
        new Parts(
            environment,
            settings,
            new QuestionnaireStore(reads, writer, settings.historyRevisions()),
            new AcceptedStore(reads, environment.held(), settings.cacheBytes()),
            writer,
            new PartWriter(environment.platform(), reads, writer),
            new AuditNotes(environment),
            published);
  }

  /** Finds the operator of credentials of the form {@code <name>:<token>}. */
  public CompletableFuture<OperatorResult<Operator>> authenticate(String credentials) {
    String shown = credentials.substring(0, Math.max(0, credentials.indexOf(':')));
    String name = Operator.isName(shown) ? shown : "";
    return run(() -> operators.authenticate(credentials).thenApply(OperatorResult.Done::new))
        .thenApply(result -> noteRefusal(result, name, "", "", "authenticate"));
  }

  /**
   * Creates an operator, for an administrator's command. Repeating it succeeds; another member or
   * token for an existing name is a {@code CONFLICT}.
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
                        parts.notes().action(kind, operator, "", 0, "", writeId, "");
                      } else {
                        parts.notes().unsettled(kind, operator, "", "", writeId, error);
                      }
                    })
                .thenApply(OperatorResult.Done::new));
  }

  /** Checks a document completely and shows what it would change. Changes nothing. */
  public CompletableFuture<OperatorResult<ProposalReport>> check(
      Operator operator, String document) {
    return run(
        () -> {
          Proposal proposal = ProposalChecks.read(document);
          ProposalChecks.requireMember(proposal, operator);
          return parts
              .accepted()
              .readHead()
              .thenCompose(
                  head ->
                      parts
                          .accepted()
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
    Optional<Digest> base = head.partOf(team);
    String before =
        base.map(contents::get)
            .map(ProposalChecks::parse)
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
   * Stores a questionnaire.
   *
   * @param expectedRevision the revision that is amended; empty for the first submission
   */
  public CompletableFuture<OperatorResult<SubmissionReceipt>> submit(
      Operator operator, TeamId team, OptionalLong expectedRevision, String document) {
    return run(() ->
            new Submission(parts, operator, team, expectedRevision.orElse(0), document).run())
        .thenApply(result -> noteRefusal(result, operator, team, "submit"));
  }

  /** Shows the present questionnaire of a team and what is accepted. */
  public CompletableFuture<OperatorResult<TeamState>> show(Operator operator, TeamId team) {
    return run(
        () ->
            parts
                .questionnaires()
                .readOwn(operator, team)
                .thenCompose(
                    stored ->
                        parts
                            .accepted()
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
            parts
                .questionnaires()
                .readOwn(operator, team)
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

  /** Compares the present questionnaire of a team with what is accepted. */
  public CompletableFuture<OperatorResult<ProposalReport>> diff(Operator operator, TeamId team) {
    return run(
        () ->
            parts
                .questionnaires()
                .readOwn(operator, team)
                .thenCompose(
                    stored -> {
                      String document = stored.latest().orElseThrow().getDocument();
                      Proposal proposal = ProposalChecks.read(document);
                      return parts.accepted().readHead().thenCompose(head -> diff(proposal, head));
                    }));
  }

  private CompletableFuture<OperatorResult<ProposalReport>> diff(
      Proposal proposal, AcceptedHead head) {
    List<Digest> base = head.partOf(proposal.questionnaire().team()).stream().toList();
    return parts.accepted().loadParts(base).thenApply(contents -> report(proposal, head, contents));
  }

  /**
   * Accepts a proposal that an operator has reviewed.
   *
   * @param proposal digest of the proposed configuration
   * @param base digest of the accepted configuration it was compared with; empty when none was
   */
  public CompletableFuture<OperatorResult<ApprovalReceipt>> approve(
      Operator operator, TeamId team, Digest proposal, Optional<Digest> base) {
    return run(() -> new ApproveOperation(parts, operator, team, proposal, base).run())
        .thenApply(result -> noteRefusal(result, operator, team, "approve"));
  }

  /** Reads a page of the audit trail with the entries of the operator's member. */
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

  private <T> OperatorResult<T> noteRefusal(
      OperatorResult<T> result, Operator operator, TeamId team, String action) {
    return noteRefusal(result, operator.name(), operator.member().value(), team.value(), action);
  }

  private <T> OperatorResult<T> noteRefusal(
      OperatorResult<T> result, String operator, String member, String team, String action) {
    ErrorKind kind = result.errorKind();
    // The platform's failures are no refusals, and recording them would only add to its load.
    if (kind != null
        && kind != ErrorKind.PLATFORM_UNAVAILABLE
        && kind != ErrorKind.PLATFORM_OUTCOME_UNKNOWN
        && kind != ErrorKind.OVERLOADED) {
      parts.notes().refusal(operator, member, team, action + ": " + detail(result, kind));
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
