package io.foxtaildoor.version.approval;

import static io.foxtaildoor.version.approval.Mesh.ADA;
import static io.foxtaildoor.version.approval.Mesh.BEN;
import static io.foxtaildoor.version.approval.Mesh.BLUE;
import static io.foxtaildoor.version.approval.Mesh.MEMBER;
import static io.foxtaildoor.version.approval.Mesh.RED;
import static io.foxtaildoor.version.approval.Mesh.document;
import static io.foxtaildoor.version.approval.Mesh.route;
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
  /** Sets up one node. */
  public abstract static class OneNode {
    Mesh mesh;
    Mesh.Node node;

    @BeforeMethod
    public void setUp() {
      mesh = new Mesh(5);
      node = mesh.new Node();
    }
  }

  /** The path of a questionnaire from submission to acceptance. */
  public static final class Acceptance extends OneNode {
    /** Guards against skipped versions, a wrong difference and missing audit entries. */
    @Test
    public void submitsAmendsAndApproves() {
      assertEquals(node.accept(ADA, RED, 0, document(RED, 1)).stamp().version(), 1);
      String amended = document(RED, 2);
      SubmissionReceipt receipt = mesh.done(node.submit(BEN, RED, 1, amended));
      assertEquals(receipt.revision(), 2);
      ProposalReport report = mesh.done(node.service.diff(BEN, RED));
      assertTrue(
          report.difference().contains("-    slots: 1\n+    slots: 2\n"), report.difference());
      assertEquals(report.base(), receipt.base());
      var approval = node.service.approve(BEN, RED, report.proposal(), report.base());
      assertEquals(mesh.done(approval).stamp().version(), 2);
      assertEquals(node.holder.current().stamp().version(), 2);
      TeamState state = mesh.done(node.service.show(ADA, RED));
      assertEquals(state.accepted(), Optional.of(state.proposal()));
      assertEquals(state.document(), amended);
      List<RevisionSummary> history = mesh.done(node.service.history(ADA, RED));
      assertEquals(history.stream().map(RevisionSummary::revision).toList(), List.of(2L, 1L));
      mesh.time.advance(Duration.ofMinutes(1));
      assertEquals(
          mesh.done(node.service.audit(ADA, Optional.empty(), 10)).entries().stream()
              .map(AuditEntry::kind)
              .toList(),
          List.of(
              AuditKind.APPROVAL, AuditKind.AMENDMENT, AuditKind.APPROVAL, AuditKind.SUBMISSION));
    }

    /** Guards against a second version for what is accepted already. */
    @Test
    public void repeatedApprovalMakesNoVersion() {
      node.accept(ADA, RED, 0, document(RED, 1));
      Digest proposal = mesh.accepted(RED).orElseThrow();
      var repeated = mesh.done(node.service.approve(BEN, RED, proposal, Optional.empty()));
      assertTrue(repeated.acceptedBefore());
      assertEquals(mesh.head().version(), 1);
    }

    /** Guards against acceptance of something else than was reviewed. */
    @Test
    public void staleReviewConflicts() {
      node.accept(ADA, RED, 0, document(RED, 1));
      Optional<Digest> first = mesh.accepted(RED);
      SubmissionReceipt second = mesh.done(node.submit(ADA, RED, 1, document(RED, 2)));
      SubmissionReceipt third = mesh.done(node.submit(ADA, RED, 2, document(RED, 3)));
      var oldProposal = mesh.await(node.service.approve(BEN, RED, second.proposal(), first));
      var oldBase = mesh.await(node.service.approve(BEN, RED, third.proposal(), Optional.empty()));
      for (var result : List.of(oldProposal, oldBase)) {
        TeamState present = ((OperatorResult.Conflict<ApprovalReceipt>) result).present();
        assertEquals(present.proposal(), third.proposal());
        assertEquals(present.accepted(), first);
        assertEquals(present.revision(), 3);
      }
      assertEquals(mesh.head().version(), 1);
    }

    /** Guards against a bad questionnaire that changes anything or fails without its place. */
    @Test
    public void badQuestionnaireChangesNothing() {
      node.accept(ADA, RED, 0, document(RED, 1));
      List<String> before = List.copyOf(mesh.writes());
      TeamId team = new TeamId("bookings-team");
      for (BadQuestionnaires.Case bad : BadQuestionnaires.CASES) {
        var result = mesh.await(node.submit(ADA, team, 0, bad.document()));
        assertTrue(result instanceof OperatorResult.Invalid, bad + " gave " + result);
        assertFalse(
            mesh.await(node.service.check(ADA, bad.document())) instanceof OperatorResult.Done);
      }
      mesh.time.advance(Duration.ofMinutes(10));
      assertEquals(mesh.writes(), before);
      int recorded = mesh.done(node.service.audit(ADA, Optional.empty(), 200)).entries().size();
      assertTrue(recorded < BadQuestionnaires.CASES.size(), "refusals are not limited");
    }

    /** Guards against values above the platform's limit; the fake platform refuses these. */
    @Test
    public void longHistoryOfLargeDocumentsStaysBelowValueLimit() {
      String padding = "#" + "x".repeat(200_000) + "\n";
      for (int i = 0; i < 25; i++) {
        mesh.done(node.submit(ADA, RED, i, document(RED, i + 1) + (i < 8 ? padding : "")));
        int kept = mesh.done(node.service.history(ADA, RED)).size();
        assertTrue(kept >= Math.min(i + 1, 4) && kept <= 20, i + ": " + kept);
      }
    }
  }

  /** Operators. */
  public static final class Operators extends OneNode {
    private static final Digest HASH = Digest.of("s:ecret".getBytes(StandardCharsets.UTF_8));

    /** Guards against entry without the right token. */
    @Test
    public void authenticatesByNameAndToken() {
      mesh.done(node.service.bootstrap(ADA, HASH));
      assertEquals(mesh.done(node.service.authenticate("ada:s:ecret")), ADA);
      for (String bad : List.of("ada:s:ecre", "ada:", "ben:s:ecret", "ada", "", "A/b:x", "ben:")) {
        assertEquals(
            mesh.await(node.service.authenticate(bad)).errorKind(), ErrorKind.UNAUTHENTICATED, bad);
      }
    }

    /** Guards against a second bootstrap that takes an operator's name over. */
    @Test
    public void bootstrapKeepsExistingOperator() {
      mesh.done(node.service.bootstrap(ADA, HASH));
      mesh.done(node.service.bootstrap(ADA, HASH));
      Operator other = new Operator("ada", new MemberId("forbund"));
      var taken = mesh.await(node.service.bootstrap(other, HASH));
      assertEquals(taken.errorKind(), ErrorKind.CONFLICT);
      assertEquals(mesh.done(node.service.authenticate("ada:s:ecret")), ADA);
    }

    /** Guards against operators that read or change another member's team. */
    @Test
    public void otherMembersAreForbidden() {
      node.accept(ADA, RED, 0, document(RED, 1));
      Operator eve = new Operator("eve", new MemberId("forbund"));
      Digest digest = mesh.accepted(RED).orElseThrow();
      String own = document(RED, 2).replace("pamoja", "forbund");
      List<ErrorKind> kinds =
          List.of(
              mesh.await(node.service.show(eve, RED)).errorKind(),
              mesh.await(node.service.history(eve, RED)).errorKind(),
              mesh.await(node.service.diff(eve, RED)).errorKind(),
              mesh.await(node.service.approve(eve, RED, digest, Optional.empty())).errorKind(),
              mesh.await(node.submit(eve, RED, 1, document(RED, 2))).errorKind(),
              mesh.await(node.submit(eve, RED, 1, own)).errorKind());
      assertEquals(List.copyOf(Set.copyOf(kinds)), List.of(ErrorKind.FORBIDDEN));
      assertEquals(
          mesh.done(node.service.audit(eve, Optional.empty(), 9)).entries().stream()
              .filter(entry -> entry.member().equals(MEMBER.value()))
              .count(),
          0);
    }
  }

  /** State of the platform and of the node. */
  public static final class Platform extends OneNode {
    /** Guards against a service that needs what an earlier node had in memory. */
    @Test
    public void freshNodeFetchesParts() {
      node.accept(ADA, RED, 0, document(RED, 1));
      Mesh.Node fresh = mesh.new Node();
      fresh.accept(BEN, BLUE, 0, document(BLUE, 1, route("w", "/w", RED)));
      ConfigurationSnapshot held = fresh.holder.current();
      assertEquals(held.stamp(), mesh.head().manifest().stamp());
      assertEquals(held.manifest().entries().keySet(), Set.of(RED, BLUE));
    }

    /** Guards against approvals that use up the few platform calls of a process. */
    @Test
    public void approvalTakesFourCallsBesidesAuditAndRemoval() {
      SubmissionReceipt receipt = mesh.done(node.submit(ADA, RED, 0, document(RED, 1)));
      mesh.time.advance(Duration.ofMinutes(1));
      List<String> calls = new ArrayList<>();
      mesh.platform.setFaults(
          (key, write) -> {
            calls.add((write ? "write " : "read ") + key.replaceFirst("/.*", ""));
            return Fault.NONE;
          });
      mesh.done(node.service.approve(ADA, RED, receipt.proposal(), receipt.base()));
      assertEquals(
          calls.stream().filter(call -> !call.endsWith("audit")).toList(),
          List.of("read head", "read questionnaire", "write part", "write head"));
    }

    /** Guards against versions that are given twice when the platform lost its newest state. */
    @Test
    public void olderHeadThanInForceIsRefused() {
      node.accept(ADA, RED, 0, document(RED, 1));
      byte[] old = mesh.platform.entry("head").value();
      node.accept(ADA, RED, 1, document(RED, 2));
      mesh.platform.put("head", old);
      var result = mesh.await(node.submit(ADA, RED, 2, document(RED, 3)));
      assertEquals(result.errorKind(), ErrorKind.PLATFORM_UNAVAILABLE);
    }

    /** Guards against parts that pile up, and against removal of parts that are in use. */
    @Test
    public void removesOnlyPartsReplacedLongAgo() {
      for (int i = 0; i < 230; i++) {
        node.accept(ADA, RED, i, document(RED, i < 115 ? i + 1 : 1 + i % 5));
        assertEquals(mesh.parts(mesh.head()).size(), 1, "version " + i);
      }
      mesh.time.advance(Duration.ofMinutes(1));
      int parts = mesh.platform.keys("part/").size();
      assertTrue(parts <= 8, parts + " parts");
      assertEquals(mesh.head().version(), 230);
    }
  }
}
