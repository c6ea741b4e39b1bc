package io.foxtaildoor.process.operator;

import static java.util.concurrent.CompletableFuture.completedFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Json;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditCursor;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.version.approval.ApprovalReceipt;
import io.foxtaildoor.version.approval.ApprovalService;
import io.foxtaildoor.version.approval.Operator;
import io.foxtaildoor.version.approval.OperatorResult;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Function;

/** HTTP resources for questionnaires, approvals and the audit trail. */
public final class ApprovalResources {
  private static final String BEARER = "Bearer ";
  private static final int DEFAULT_PAGE_SIZE = 50;

  private final ApprovalService service;
  private final BiConsumer<Operator, ApprovalReceipt> onApproval;

  /**
   * Creates the resources that expose an approval service.
   *
   * @param onApproval called after each successful approval
   */
  public ApprovalResources(
      ApprovalService service, BiConsumer<Operator, ApprovalReceipt> onApproval) {
    this.service = service;
    this.onApproval = onApproval;
  }

  /** Adds the resources to a router. */
  public void register(OperatorRouter router) {
    router
        .add("POST", "/v1/questionnaires/check", authenticated(this::check))
        .add("POST", "/v1/questionnaires/{team}", authenticated(this::submit))
        .add("GET", "/v1/questionnaires/{team}", authenticated(this::show))
        .add("GET", "/v1/questionnaires/{team}/history", authenticated(this::history))
        .add("GET", "/v1/config/{team}/diff", authenticated(this::diff))
        .add("POST", "/v1/config/{team}/approve", authenticated(this::approve))
        .add("GET", "/v1/audit", authenticated(this::audit));
  }

  private OperatorHandler authenticated(
      BiFunction<Operator, OperatorRequest, CompletableFuture<OperatorResponse>> handler) {
    return request ->
        service
            .authenticate(credentials(request))
            .thenCompose(
                result ->
                    result instanceof OperatorResult.Done<Operator> done
                        ? handler.apply(done.value(), request)
                        : completedFuture(OperatorResponses.of(result, Function.identity())));
  }

  private static String credentials(OperatorRequest request) {
    String header = request.headers().get("Authorization");
    if (header == null || !header.startsWith(BEARER)) {
      throw new FoxtaildoorException(
          ErrorKind.UNAUTHENTICATED, "the request needs Authorization: Bearer NAME:TOKEN");
    }
    return header.substring(BEARER.length());
  }

  private CompletableFuture<OperatorResponse> check(Operator operator, OperatorRequest request) {
    return service
        .check(operator, document(request))
        .thenApply(result -> OperatorResponses.of(result, ProposalAnswer::of));
  }

  private CompletableFuture<OperatorResponse> submit(Operator operator, OperatorRequest request) {
    return service
        .submit(operator, team(request), expectedRevision(request), document(request))
        .thenApply(result -> OperatorResponses.of(result, SubmissionAnswer::of));
  }

  private static OptionalLong expectedRevision(OperatorRequest request) {
    String header = request.headers().get("If-Match");
    if (header == null) {
      return OptionalLong.empty();
    }
    try {
      long revision = Long.parseLong(header.replace("\"", ""));
      if (revision > 0) {
        return OptionalLong.of(revision);
      }
    } catch (NumberFormatException e) {
      throw invalidRevision(e);
    }
    throw invalidRevision(null);
  }

  private static FoxtaildoorException invalidRevision(Throwable cause) {
    return new FoxtaildoorException(
        ErrorKind.INVALID_INPUT, "If-Match must be a revision number of at least 1", cause);
  }

  private CompletableFuture<OperatorResponse> show(Operator operator, OperatorRequest request) {
    return service
        .show(operator, team(request))
        .thenApply(result -> OperatorResponses.of(result, TeamAnswer::of));
  }

  private CompletableFuture<OperatorResponse> history(Operator operator, OperatorRequest request) {
    return service
        .history(operator, team(request))
        .thenApply(result -> OperatorResponses.of(result, HistoryAnswer::of));
  }

  private CompletableFuture<OperatorResponse> diff(Operator operator, OperatorRequest request) {
    return service
        .diff(operator, team(request))
        .thenApply(result -> OperatorResponses.of(result, ProposalAnswer::of));
  }

  private CompletableFuture<OperatorResponse> approve(Operator operator, OperatorRequest request) {
    JsonNode body = Json.tree(request.body());
    Digest proposal = new Digest(body.path("proposalDigest").asText());
    Optional<Digest> base =
        body.hasNonNull("baseDigest")
            ? Optional.of(new Digest(body.path("baseDigest").asText()))
            : Optional.empty();
    return service
        .approve(operator, team(request), proposal, base)
        .thenApply(
            result -> {
              if (result instanceof OperatorResult.Done<ApprovalReceipt> done) {
                onApproval.accept(operator, done.value());
              }
              return OperatorResponses.of(result, ApprovalAnswer::of);
            });
  }

  private CompletableFuture<OperatorResponse> audit(Operator operator, OperatorRequest request) {
    int limit = request.intParameter("limit", DEFAULT_PAGE_SIZE, 1, AuditTrail.MAX_PAGE_SIZE);
    Optional<AuditCursor> before = request.parameter("before").map(AuditCursor::parse);
    return service
        .audit(operator, before, limit)
        .thenApply(result -> OperatorResponses.of(result, AuditAnswer::of));
  }

  private static TeamId team(OperatorRequest request) {
    return new TeamId(request.variable("team"));
  }

  private static String document(OperatorRequest request) {
    return new String(request.body(), StandardCharsets.UTF_8);
  }
}
