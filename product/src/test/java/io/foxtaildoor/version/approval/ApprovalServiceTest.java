package io.foxtaildoor.version.approval;

import static io.foxtaildoor.version.approval.ApprovalTestMesh.ADA;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.BEN;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.BLUE;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.MEMBER;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.RED;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.document;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.route;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.platform.FaultyPlatform.Fault;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.questionnaire.BadQuestionnaires;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ApprovalService} without concurrent operators or faults. */
public class ApprovalServiceTest {
  /** Base class that sets up a platform and one node. */
  public abstract static class OneNode {
    ApprovalTestMesh mesh;
    ApprovalTestMesh.Node node;

    @BeforeMethod
    public void setUp() {
      mesh = new ApprovalTestMesh(5);
      node = mesh.new Node();
    }
  }

  /** Questionnaires from submission to acceptance. */
  public static final class Acceptance extends OneNode {
    /** Guards against skipped versions, wrong diffs and missing audit entries. */
    @Test
    public void submitsAmendsAndApproves() {
      assertEquals(node.submitAndApprove(ADA, RED, 0, document(RED, 1)).stamp().version(), 1);
      String amended = document(RED, 2);
      SubmissionReceipt receipt = mesh.awaitSuccess(node.submit(BEN, RED, 1, amended));
      assertEquals(receipt.revision(), 2);
      ProposalReport report = mesh.awaitSuccess(node.service.diff(BEN, RED));
      assertTrue(
          report.unifiedDiff().contains("-    slots: 1\n+    slots: 2\n"), report.unifiedDiff());
      assertEquals(report.baseDigest(), receipt.baseDigest());
      var approval = node.service.approve(BEN, RED, report.proposalDigest(), report.baseDigest());
      assertEquals(mesh.awaitSuccess(approval).stamp().version(), 2);
      assertEquals(node.holder.current().stamp().version(), 2);
      TeamState state = mesh.awaitSuccess(node.service.show(ADA, RED));
      assertEquals(state.acceptedDigest(), Optional.of(state.proposalDigest()));
      assertEquals(state.document(), amended);
      List<RevisionSummary> history = mesh.awaitSuccess(node.service.history(ADA, RED));
      assertEquals(history.stream().map(RevisionSummary::revision).toList(), List.of(2L, 1L));
      mesh.time.advance(Duration.ofMinutes(1));
      assertEquals(
          mesh.awaitSuccess(node.service.audit(ADA, Optional.empty(), 10)).entries().stream()
              .map(AuditEntry::kind)
              .toList(),
          List.of(
              AuditKind.APPROVAL, AuditKind.AMENDMENT, AuditKind.APPROVAL, AuditKind.SUBMISSION));
    }

    /** Guards against a second version for a proposal that is already accepted. */
    @Test
    public void repeatedApprovalCreatesNoVersion() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      Digest proposal = mesh.acceptedDigest(RED).orElseThrow();
      var repeated = mesh.awaitSuccess(node.service.approve(BEN, RED, proposal, Optional.empty()));
      assertTrue(repeated.acceptedBefore());
      assertEquals(mesh.head().version(), 1);
    }

    /** Guards against accepting a proposal that differs from the reviewed one. */
    @Test
    public void approvalOfOutdatedReviewConflicts() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      Optional<Digest> first = mesh.acceptedDigest(RED);
      SubmissionReceipt second = mesh.awaitSuccess(node.submit(ADA, RED, 1, document(RED, 2)));
      SubmissionReceipt third = mesh.awaitSuccess(node.submit(ADA, RED, 2, document(RED, 3)));
      var oldProposal =
          mesh.awaitResult(node.service.approve(BEN, RED, second.proposalDigest(), first));
      var oldBase =
          mesh.awaitResult(
              node.service.approve(BEN, RED, third.proposalDigest(), Optional.empty()));
      for (var result : List.of(oldProposal, oldBase)) {
        TeamState currentState = ((OperatorResult.Conflict<ApprovalReceipt>) result).currentState();
        assertEquals(currentState.proposalDigest(), third.proposalDigest());
        assertEquals(currentState.acceptedDigest(), first);
        assertEquals(currentState.revision(), 3);
      }
      assertEquals(mesh.head().version(), 1);
    }

    /**
     * Guards against an invalid questionnaire that changes state or is refused without its
     * problems.
     */
    @Test
    public void invalidQuestionnaireChangesNothing() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      List<String> before = List.copyOf(mesh.effectiveWriteKeys());
      TeamId team = new TeamId("bookings-team");
      for (BadQuestionnaires.Case bad : BadQuestionnaires.CASES) {
        var result = mesh.awaitResult(node.submit(ADA, team, 0, bad.document()));
        assertTrue(result instanceof OperatorResult.Invalid, bad + " gave " + result);
        assertFalse(
            mesh.awaitResult(node.service.check(ADA, bad.document()))
                instanceof OperatorResult.Done);
      }
      mesh.time.advance(Duration.ofMinutes(10));
      assertEquals(mesh.effectiveWriteKeys(), before);
      int recorded =
          mesh.awaitSuccess(node.service.audit(ADA, Optional.empty(), 200)).entries().size();
      assertTrue(
          recorded < BadQuestionnaires.CASES.size(),
          "the number of refusals in the audit trail is not limited");
    }

    /**
     * Guards against values above the size limit of the platform, which the fake platform rejects.
     */
    @Test
    public void longHistoryOfLargeDocumentsStaysBelowValueLimit() {
      String padding = "#" + "x".repeat(200_000) + "\n";
      for (int i = 0; i < 25; i++) {
        mesh.awaitSuccess(node.submit(ADA, RED, i, document(RED, i + 1) + (i < 8 ? padding : "")));
        int kept = mesh.awaitSuccess(node.service.history(ADA, RED)).size();
        assertTrue(kept >= Math.min(i + 1, 4) && kept <= 20, i + ": " + kept);
      }
    }
  }

  /** Authentication, creation and permissions of operators. */
  public static final class Operators extends OneNode {
    private static final Digest TOKEN_HASH = Digest.of("s:ecret".getBytes(StandardCharsets.UTF_8));

    /** Guards against authentication without the right token. */
    @Test
    public void authenticatesByNameAndToken() {
      mesh.awaitSuccess(node.service.bootstrap(ADA, TOKEN_HASH));
      assertEquals(mesh.awaitSuccess(node.service.authenticate("ada:s:ecret")), ADA);
      for (String bad : List.of("ada:s:ecre", "ada:", "ben:s:ecret", "ada", "", "A/b:x", "ben:")) {
        assertEquals(
            mesh.awaitResult(node.service.authenticate(bad)).errorKind(),
            ErrorKind.UNAUTHENTICATED,
            bad);
      }
    }

    /**
     * Guards against a second bootstrap request that takes over the name of an existing operator.
     */
    @Test
    public void bootstrapKeepsExistingOperator() {
      mesh.awaitSuccess(node.service.bootstrap(ADA, TOKEN_HASH));
      mesh.awaitSuccess(node.service.bootstrap(ADA, TOKEN_HASH));
      Operator other = new Operator("ada", new MemberId("forbund"));
      var conflict = mesh.awaitResult(node.service.bootstrap(other, TOKEN_HASH));
      assertEquals(conflict.errorKind(), ErrorKind.CONFLICT);
      assertEquals(mesh.awaitSuccess(node.service.authenticate("ada:s:ecret")), ADA);
    }

    /** Guards against operators that read or change a team of another member. */
    @Test
    public void otherMembersAreForbidden() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      Operator eve = new Operator("eve", new MemberId("forbund"));
      Digest digest = mesh.acceptedDigest(RED).orElseThrow();
      String ownDocument = document(RED, 2).replace("pamoja", "forbund");
      List<ErrorKind> kinds =
          List.of(
              mesh.awaitResult(node.service.show(eve, RED)).errorKind(),
              mesh.awaitResult(node.service.history(eve, RED)).errorKind(),
              mesh.awaitResult(node.service.diff(eve, RED)).errorKind(),
              mesh.awaitResult(node.service.approve(eve, RED, digest, Optional.empty()))
                  .errorKind(),
              mesh.awaitResult(node.submit(eve, RED, 1, document(RED, 2))).errorKind(),
              mesh.awaitResult(node.submit(eve, RED, 1, ownDocument)).errorKind());
      assertEquals(List.copyOf(Set.copyOf(kinds)), List.of(ErrorKind.FORBIDDEN));
      assertEquals(
          mesh.awaitSuccess(node.service.audit(eve, Optional.empty(), 9)).entries().stream()
              .filter(entry -> entry.member().equals(MEMBER.value()))
              .count(),
          0);
    }
  }

  /** State stored on the platform and in the memory of a node. */
  public static final class Platform extends OneNode {
    /** Guards against a service that depends on state in the memory of another node. */
    @Test
    public void newNodeFetchesPartsFromPlatform() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      ApprovalTestMesh.Node newNode = mesh.new Node();
      newNode.submitAndApprove(BEN, BLUE, 0, document(BLUE, 1, route("w", "/w", RED)));
      ConfigurationSnapshot held = newNode.holder.current();
      assertEquals(held.stamp(), mesh.head().manifest().stamp());
      assertEquals(held.manifest().entries().keySet(), Set.of(RED, BLUE));
    }

    /** Guards against approvals that exhaust the process's limit of platform calls. */
    @Test
    public void approvalTakesFourCallsBesidesAuditAndRemoval() {
      SubmissionReceipt receipt = mesh.awaitSuccess(node.submit(ADA, RED, 0, document(RED, 1)));
      mesh.time.advance(Duration.ofMinutes(1));
      List<String> calls = new ArrayList<>();
      mesh.platform.setFaults(
          (key, write) -> {
            calls.add((write ? "write " : "read ") + key.replaceFirst("/.*", ""));
            return Fault.NONE;
          });
      mesh.awaitSuccess(
          node.service.approve(ADA, RED, receipt.proposalDigest(), receipt.baseDigest()));
      assertEquals(
          calls.stream().filter(call -> !call.endsWith("audit")).toList(),
          List.of("read head", "read questionnaire", "write part", "write head"));
    }

    /** Guards against version numbers assigned twice after the platform lost its latest state. */
    @Test
    public void headOlderThanVersionInForceIsRefused() {
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      byte[] oldHead = mesh.platform.entry("head").value();
      node.submitAndApprove(ADA, RED, 1, document(RED, 2));
      mesh.platform.put("head", oldHead);
      var result = mesh.awaitResult(node.submit(ADA, RED, 2, document(RED, 3)));
      assertEquals(result.errorKind(), ErrorKind.PLATFORM_UNAVAILABLE);
    }

    /** Guards against unlimited accumulation of parts and against removal of parts in use. */
    @Test
    public void removesOnlyPartsReplacedLongAgo() {
      for (int i = 0; i < 230; i++) {
        node.submitAndApprove(ADA, RED, i, document(RED, i < 115 ? i + 1 : 1 + i % 5));
        assertEquals(mesh.storedParts(mesh.head()).size(), 1, "version " + i);
      }
      mesh.time.advance(Duration.ofMinutes(1));
      int parts = mesh.platform.keys("part/").size();
      assertTrue(parts <= 8, parts + " parts");
      assertEquals(mesh.head().version(), 230);
    }
  }
}
