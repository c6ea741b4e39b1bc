package io.foxtaildoor.version.approval;

import static io.foxtaildoor.version.approval.ApprovalTestMesh.ADA;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.BEN;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.BLUE;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.RED;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.document;
import static io.foxtaildoor.version.approval.ApprovalTestMesh.route;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.platform.FaultyPlatform;
import io.foxtaildoor.process.platform.FaultyPlatform.Fault;
import io.foxtaildoor.version.approval.OperatorResult.Conflict;
import io.foxtaildoor.version.approval.OperatorResult.Done;
import io.foxtaildoor.version.approval.OperatorResult.Invalid;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ApprovalService} with platform faults and with concurrent operators. */
public class ApprovalFaultTest {
  private static final int SEEDS = 60;

  /** Platform faults during one request. */
  public static final class Faults {
    @DataProvider
    Object[][] faultyWrites() {
      List<Object[]> cases = new ArrayList<>();
      for (Fault fault : Fault.values()) {
        for (String key : List.of("questionnaire/", "part/", "head", "audit/", "operator/")) {
          cases.add(new Object[] {fault, key, 1});
          cases.add(new Object[] {fault, key, 3});
        }
      }
      return cases.toArray(Object[][]::new);
    }

    /**
     * Guards against requests that take effect twice or never after a lost answer, a lost request
     * or a delayed write.
     */
    @Test(dataProvider = "faultyWrites")
    public void requestRetriedAfterWriteFaultTakesEffectOnce(Fault fault, String key, int times) {
      ApprovalTestMesh mesh = new ApprovalTestMesh(1);
      AtomicInteger remainingFaults = new AtomicInteger(times);
      mesh.platform.setFaults(
          (calledKey, write) ->
              write && calledKey.startsWith(key) && remainingFaults.getAndDecrement() > 0
                  ? fault
                  : Fault.NONE);
      ApprovalTestMesh.Node node = mesh.new Node();
      retryUntilDone(
          mesh, () -> mesh.awaitResult(node.service.bootstrap(ADA, Digest.of(new byte[0]))));
      SubmissionReceipt receipt =
          retryUntilDone(mesh, () -> mesh.awaitResult(node.submit(ADA, RED, 0, document(RED, 1))));
      var approval =
          retryUntilDone(
              mesh,
              () ->
                  mesh.awaitResult(
                      node.service.approve(
                          ADA, RED, receipt.proposalDigest(), receipt.baseDigest())));
      assertEquals(approval.stamp(), mesh.head().manifest().stamp());
      mesh.time.advance(Duration.ofMinutes(5));
      assertEquals(mesh.head().version(), 1);
      assertEquals(mesh.writtenHeads().size(), 1);
      assertEquals(mesh.awaitSuccess(node.service.history(ADA, RED)).size(), 1);
      assertEquals(node.holder.current().stamp().version(), 1);
      List<AuditEntry> entries =
          mesh.awaitSuccess(node.service.audit(ADA, Optional.empty(), 50)).entries().stream()
              .filter(entry -> entry.kind() == AuditKind.APPROVAL)
              .toList();
      assertEquals(entries.size(), 1, entries.toString());
    }

    /** Repeats a request until it succeeds, at most four times, as an operator would. */
    private static <T> T retryUntilDone(
        ApprovalTestMesh mesh, Supplier<OperatorResult<T>> request) {
      OperatorResult<T> result = request.get();
      for (int i = 0; i < 4 && !(result instanceof Done); i++) {
        assertEquals(result.errorKind(), ErrorKind.PLATFORM_UNAVAILABLE);
        mesh.time.advance(Duration.ofSeconds(1));
        result = request.get();
      }
      return ((Done<T>) result).value();
    }

    /**
     * Guards against a wrong answer or a second version when the platform becomes unavailable right
     * after the write of the head.
     */
    @Test
    public void approvalRetriedAfterOutageReportsActualOutcome() {
      for (Fault headWriteFault : List.of(Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.LATE)) {
        ApprovalTestMesh mesh = new ApprovalTestMesh(2);
        ApprovalTestMesh.Node node = mesh.new Node();
        node.submitAndApprove(ADA, BLUE, 0, document(BLUE, 1));
        SubmissionReceipt receipt = mesh.awaitSuccess(node.submit(ADA, RED, 0, document(RED, 1)));
        mesh.time.advance(Duration.ofMinutes(1));
        AtomicInteger headWrites = new AtomicInteger();
        mesh.platform.setFaults(
            (key, write) -> {
              if (headWrites.get() > 0) {
                return Fault.UNAVAILABLE;
              }
              boolean headWrite = write && key.equals("head");
              return headWrite && headWrites.incrementAndGet() > 0 ? headWriteFault : Fault.NONE;
            });
        var unknownOutcome =
            mesh.awaitResult(
                node.service.approve(ADA, RED, receipt.proposalDigest(), receipt.baseDigest()));
        assertEquals(unknownOutcome.errorKind(), ErrorKind.PLATFORM_OUTCOME_UNKNOWN);
        mesh.platform.setFaults((key, write) -> Fault.NONE);
        mesh.time.advance(Duration.ofMinutes(1));
        var receiptOfRetry =
            mesh.awaitSuccess(
                node.service.approve(ADA, RED, receipt.proposalDigest(), receipt.baseDigest()));
        assertEquals(receiptOfRetry.acceptedBefore(), headWriteFault != Fault.REQUEST_LOST);
        assertEquals(receiptOfRetry.stamp().version(), 2);
        assertEquals(mesh.writtenHeads().size(), 2);
        mesh.time.advance(Duration.ofMinutes(1));
        assertEquals(node.holder.current().stamp().version(), 2);
      }
    }

    /**
     * Guards against an approval that is undone, or an audit entry that is lost, because the entry
     * cannot be written at once.
     */
    @Test
    public void auditOutageDoesNotAffectApproval() {
      ApprovalTestMesh mesh = new ApprovalTestMesh(3);
      ApprovalTestMesh.Node node = mesh.new Node();
      mesh.platform.setFaults(
          (key, write) -> key.startsWith("audit/") ? Fault.UNAVAILABLE : Fault.NONE);
      node.submitAndApprove(ADA, RED, 0, document(RED, 1));
      mesh.time.advance(Duration.ofMinutes(30));
      mesh.platform.setFaults((key, write) -> Fault.NONE);
      mesh.time.advance(Duration.ofMinutes(1));
      var entries = mesh.awaitSuccess(node.service.audit(ADA, Optional.empty(), 50)).entries();
      assertEquals(
          entries.stream().map(AuditEntry::kind).toList(),
          List.of(AuditKind.APPROVAL, AuditKind.SUBMISSION));
    }
  }

  /** Concurrent requests of two operators on two nodes. */
  public static final class Races {
    private interface Race {
      void run(
          ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode);
    }

    private static final Map<String, Race> RACES =
        Map.of(
            "submit-submit", (m, a, b) -> concurrentSubmissions(m, a, b, 0),
            "amend-amend", Races::concurrentAmendments,
            "amend-approve", Races::concurrentAmendmentAndApproval,
            "approve-approve of one team", Races::concurrentApprovalsOfOneTeam,
            "approve-approve of two teams", Races::concurrentApprovalsOfTwoTeams,
            "overlapping routes", Races::overlappingRoutes,
            "removal of a used service", Races::removalOfUsedService,
            "removal of a part that is accepted again", Races::removalOfReacceptedPart);

    @DataProvider
    Object[][] races() {
      return RACES.keySet().stream()
          .sorted()
          .map(name -> new Object[] {name})
          .toArray(Object[][]::new);
    }

    /** Guards against lost changes and invalid versions for any order of the writes. */
    @Test(dataProvider = "races")
    public void concurrentRequestsKeepConfigurationValid(String name) {
      for (int seed = 0; seed < SEEDS; seed++) {
        ApprovalTestMesh mesh = new ApprovalTestMesh(seed);
        mesh.settings =
            new ApprovalSettings(
                16, Duration.ofMillis(50), Duration.ofSeconds(20), 20, 1, 2, 1 << 20);
        RACES.get(name).run(mesh, mesh.new Node(), mesh.new Node());
        List<AcceptedHead> heads = mesh.writtenHeads();
        for (int i = 0; i < heads.size(); i++) {
          assertEquals(heads.get(i).version(), i + 1, name + ", seed " + seed);
        }
        ConfigurationSnapshot.build(mesh.head().manifest(), mesh.storedParts(mesh.head()));
      }
    }

    private static void concurrentSubmissions(
        ApprovalTestMesh mesh,
        ApprovalTestMesh.Node firstNode,
        ApprovalTestMesh.Node secondNode,
        int revision) {
      var first = firstNode.submit(ADA, RED, revision, document(RED, 21));
      var second = secondNode.submit(BEN, RED, revision, document(RED, 22));
      OperatorResult<SubmissionReceipt> firstResult = mesh.awaitResult(first);
      OperatorResult<SubmissionReceipt> secondResult = mesh.awaitResult(second);
      assertNotEquals(firstResult instanceof Done, secondResult instanceof Done);
      var conflict =
          (Conflict<SubmissionReceipt>) (firstResult instanceof Done ? secondResult : firstResult);
      assertEquals(
          conflict.currentState().submittedBy(), firstResult instanceof Done ? "ada" : "ben");
      assertEquals(conflict.currentState().revision(), revision + 1);
    }

    private static void concurrentAmendments(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      firstNode.submitAndApprove(ADA, RED, 0, document(RED, 1));
      concurrentSubmissions(mesh, firstNode, secondNode, 1);
    }

    private static void concurrentAmendmentAndApproval(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      SubmissionReceipt receipt =
          mesh.awaitSuccess(firstNode.submit(ADA, RED, 0, document(RED, 1)));
      var amend = firstNode.submit(ADA, RED, 1, document(RED, 2));
      var approve =
          secondNode.service.approve(BEN, RED, receipt.proposalDigest(), Optional.empty());
      mesh.awaitSuccess(amend);
      var approved = mesh.awaitResult(approve);
      assertEquals(
          mesh.acceptedDigest(RED),
          approved instanceof Done ? Optional.of(receipt.proposalDigest()) : Optional.empty());
      assertTrue(approved instanceof Done || approved instanceof Conflict, approved.toString());
    }

    private static void concurrentApprovalsOfOneTeam(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      SubmissionReceipt receipt =
          mesh.awaitSuccess(firstNode.submit(ADA, RED, 0, document(RED, 1)));
      var first = firstNode.service.approve(ADA, RED, receipt.proposalDigest(), Optional.empty());
      var second = secondNode.service.approve(BEN, RED, receipt.proposalDigest(), Optional.empty());
      assertNotEquals(
          mesh.awaitSuccess(first).acceptedBefore(), mesh.awaitSuccess(second).acceptedBefore());
      assertEquals(mesh.head().version(), 1);
    }

    private static void concurrentApprovalsOfTwoTeams(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      SubmissionReceipt red = mesh.awaitSuccess(firstNode.submit(ADA, RED, 0, document(RED, 1)));
      SubmissionReceipt blue = mesh.awaitSuccess(firstNode.submit(ADA, BLUE, 0, document(BLUE, 1)));
      var first = firstNode.service.approve(ADA, RED, red.proposalDigest(), Optional.empty());
      var second = secondNode.service.approve(BEN, BLUE, blue.proposalDigest(), Optional.empty());
      long sum =
          mesh.awaitSuccess(first).stamp().version() + mesh.awaitSuccess(second).stamp().version();
      assertEquals(sum, 3);
      assertEquals(mesh.head().manifest().entries().size(), 2);
    }

    private static void overlappingRoutes(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      submitAndApproveBoth(
          mesh,
          firstNode,
          secondNode,
          document(RED, 1, route("r", "/a", RED)),
          document(BLUE, 1, route("b", "/a/b", BLUE)));
    }

    private static void removalOfUsedService(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      firstNode.submitAndApprove(ADA, RED, 0, document(RED, 1));
      String removal = "member: pamoja\nteam: red\nservices: []\nwork: []\n";
      SubmissionReceipt red = mesh.awaitSuccess(firstNode.submit(ADA, RED, 1, removal));
      String use = document(BLUE, 1, route("w", "/w", RED));
      SubmissionReceipt blue = mesh.awaitSuccess(firstNode.submit(ADA, BLUE, 0, use));
      assertOneOfTwoApprovalsIsInvalid(mesh, firstNode, secondNode, red, blue);
    }

    private static void submitAndApproveBoth(
        ApprovalTestMesh mesh,
        ApprovalTestMesh.Node firstNode,
        ApprovalTestMesh.Node secondNode,
        String redDocument,
        String blueDocument) {
      SubmissionReceipt red = mesh.awaitSuccess(firstNode.submit(ADA, RED, 0, redDocument));
      SubmissionReceipt blue = mesh.awaitSuccess(firstNode.submit(ADA, BLUE, 0, blueDocument));
      assertOneOfTwoApprovalsIsInvalid(mesh, firstNode, secondNode, red, blue);
    }

    private static void assertOneOfTwoApprovalsIsInvalid(
        ApprovalTestMesh mesh,
        ApprovalTestMesh.Node firstNode,
        ApprovalTestMesh.Node secondNode,
        SubmissionReceipt red,
        SubmissionReceipt blue) {
      var first = firstNode.service.approve(ADA, RED, red.proposalDigest(), red.baseDigest());
      var second = secondNode.service.approve(BEN, BLUE, blue.proposalDigest(), blue.baseDigest());
      OperatorResult<ApprovalReceipt> firstResult = mesh.awaitResult(first);
      OperatorResult<ApprovalReceipt> secondResult = mesh.awaitResult(second);
      assertNotEquals(firstResult instanceof Done, secondResult instanceof Done);
      assertTrue(
          (firstResult instanceof Done ? secondResult : firstResult) instanceof Invalid,
          firstResult + " " + secondResult);
    }

    /**
     * Blue's approval removes a retired part that red accepts again, because only one version is
     * retained. The removal is delayed on the platform, so depending on the seed red's approval
     * starts before, during or after it.
     */
    private static void removalOfReacceptedPart(
        ApprovalTestMesh mesh, ApprovalTestMesh.Node firstNode, ApprovalTestMesh.Node secondNode) {
      firstNode.submitAndApprove(ADA, RED, 0, document(RED, 1));
      firstNode.submitAndApprove(ADA, RED, 1, document(RED, 2));
      firstNode.submitAndApprove(ADA, BLUE, 0, document(BLUE, 1));
      SubmissionReceipt red = mesh.awaitSuccess(firstNode.submit(ADA, RED, 2, document(RED, 1)));
      SubmissionReceipt blue = mesh.awaitSuccess(firstNode.submit(ADA, BLUE, 1, document(BLUE, 2)));
      mesh.platform.setFaults(
          (key, write) -> key.endsWith(FaultyPlatform.DELETION_SUFFIX) ? Fault.LATE : Fault.NONE);
      var second = secondNode.service.approve(BEN, BLUE, blue.proposalDigest(), blue.baseDigest());
      mesh.time.advance(Duration.ofMillis(mesh.random.nextInt(400)));
      mesh.awaitSuccess(
          firstNode.service.approve(ADA, RED, red.proposalDigest(), red.baseDigest()));
      mesh.awaitSuccess(second);
      mesh.time.advance(Duration.ofMinutes(1));
    }
  }
}
