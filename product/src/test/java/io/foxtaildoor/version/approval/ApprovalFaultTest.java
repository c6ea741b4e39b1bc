package io.foxtaildoor.version.approval;

import static io.foxtaildoor.version.approval.Mesh.ADA;
import static io.foxtaildoor.version.approval.Mesh.BEN;
import static io.foxtaildoor.version.approval.Mesh.BLUE;
import static io.foxtaildoor.version.approval.Mesh.RED;
import static io.foxtaildoor.version.approval.Mesh.document;
import static io.foxtaildoor.version.approval.Mesh.route;
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

/** Tests of {@link ApprovalService} under faults of the platform and between two operators. */
public class ApprovalFaultTest {
  private static final int SEEDS = 60;

  /** Faults of the platform. */
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
     * Guards against a lost answer, request or late write that changes something twice or never.
     */
    @Test(dataProvider = "faultyWrites")
    public void faultOfOneWriteIsSettled(Fault fault, String key, int times) {
      Mesh mesh = new Mesh(1);
      AtomicInteger left = new AtomicInteger(times);
      mesh.platform.setFaults(
          (called, write) ->
              write && called.startsWith(key) && left.getAndDecrement() > 0 ? fault : Fault.NONE);
      Mesh.Node node = mesh.new Node();
      untilDone(mesh, () -> mesh.await(node.service.bootstrap(ADA, Digest.of(new byte[0]))));
      SubmissionReceipt receipt =
          untilDone(mesh, () -> mesh.await(node.submit(ADA, RED, 0, document(RED, 1))));
      var receipts =
          untilDone(
              mesh,
              () -> mesh.await(node.service.approve(ADA, RED, receipt.proposal(), receipt.base())));
      assertEquals(receipts.stamp(), mesh.head().manifest().stamp());
      mesh.time.advance(Duration.ofMinutes(5));
      assertEquals(mesh.head().version(), 1);
      assertEquals(mesh.heads().size(), 1);
      assertEquals(mesh.done(node.service.history(ADA, RED)).size(), 1);
      assertEquals(node.holder.current().stamp().version(), 1);
      List<AuditEntry> entries =
          mesh.done(node.service.audit(ADA, Optional.empty(), 50)).entries().stream()
              .filter(entry -> entry.kind() == AuditKind.APPROVAL)
              .toList();
      assertEquals(entries.size(), 1, entries.toString());
    }

    /** Repeats a request as an operator would, for some times. */
    private static <T> T untilDone(Mesh mesh, Supplier<OperatorResult<T>> request) {
      OperatorResult<T> result = request.get();
      for (int i = 0; i < 4 && !(result instanceof Done); i++) {
        assertEquals(result.errorKind(), ErrorKind.PLATFORM_UNAVAILABLE);
        mesh.time.advance(Duration.ofSeconds(1));
        result = request.get();
      }
      return ((Done<T>) result).value();
    }

    /** Guards against a wrong answer, or a second version, when the platform goes down midway. */
    @Test
    public void outageAfterHeadWriteIsFoundOutLater() {
      for (Fault last : List.of(Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.LATE)) {
        Mesh mesh = new Mesh(2);
        Mesh.Node node = mesh.new Node();
        node.accept(ADA, BLUE, 0, document(BLUE, 1));
        SubmissionReceipt receipt = mesh.done(node.submit(ADA, RED, 0, document(RED, 1)));
        mesh.time.advance(Duration.ofMinutes(1));
        AtomicInteger headWrites = new AtomicInteger();
        mesh.platform.setFaults(
            (key, write) -> {
              if (headWrites.get() > 0) {
                return Fault.UNAVAILABLE;
              }
              boolean headWrite = write && key.equals("head");
              return headWrite && headWrites.incrementAndGet() > 0 ? last : Fault.NONE;
            });
        var unknown =
            mesh.await(node.service.approve(ADA, RED, receipt.proposal(), receipt.base()));
        assertEquals(unknown.errorKind(), ErrorKind.PLATFORM_OUTCOME_UNKNOWN);
        mesh.platform.setFaults((key, write) -> Fault.NONE);
        mesh.time.advance(Duration.ofMinutes(1));
        var found = mesh.done(node.service.approve(ADA, RED, receipt.proposal(), receipt.base()));
        assertEquals(found.acceptedBefore(), last != Fault.REQUEST_LOST);
        assertEquals(found.stamp().version(), 2);
        assertEquals(mesh.heads().size(), 2);
        mesh.time.advance(Duration.ofMinutes(1));
        assertEquals(node.holder.current().stamp().version(), 2);
      }
    }

    /** Guards against an approval that is undone or lost because its audit entry failed. */
    @Test
    public void auditOutageDoesNotAffectApproval() {
      Mesh mesh = new Mesh(3);
      Mesh.Node node = mesh.new Node();
      mesh.platform.setFaults(
          (key, write) -> key.startsWith("audit/") ? Fault.UNAVAILABLE : Fault.NONE);
      node.accept(ADA, RED, 0, document(RED, 1));
      mesh.time.advance(Duration.ofMinutes(30));
      mesh.platform.setFaults((key, write) -> Fault.NONE);
      mesh.time.advance(Duration.ofMinutes(1));
      var entries = mesh.done(node.service.audit(ADA, Optional.empty(), 50)).entries();
      assertEquals(
          entries.stream().map(AuditEntry::kind).toList(),
          List.of(AuditKind.APPROVAL, AuditKind.SUBMISSION));
    }
  }

  /** Two operators at the same time on two nodes. */
  public static final class Races {
    private interface Race {
      void run(Mesh mesh, Mesh.Node one, Mesh.Node two);
    }

    private static final Map<String, Race> RACES =
        Map.of(
            "submit-submit", (m, a, b) -> submits(m, a, b, 0),
            "amend-amend", Races::amends,
            "amend-approve", Races::amendAndApprove,
            "approve-approve of one team", Races::approvesOfOneTeam,
            "approve-approve of two teams", Races::approvesOfTwoTeams,
            "overlapping routes", Races::overlappingRoutes,
            "removal of a used service", Races::removalOfUsedService,
            "removal of a part that is accepted again", Races::partRemoval);

    @DataProvider
    Object[][] races() {
      return RACES.keySet().stream()
          .sorted()
          .map(name -> new Object[] {name})
          .toArray(Object[][]::new);
    }

    /** Guards against lost changes and invalid versions, whatever the order of the writes. */
    @Test(dataProvider = "races")
    public void raceKeepsConfigurationValid(String name) {
      for (int seed = 0; seed < SEEDS; seed++) {
        Mesh mesh = new Mesh(seed);
        mesh.settings =
            new ApprovalSettings(
                16, Duration.ofMillis(50), Duration.ofSeconds(20), 20, 1, 2, 1 << 20);
        RACES.get(name).run(mesh, mesh.new Node(), mesh.new Node());
        List<AcceptedHead> heads = mesh.heads();
        for (int i = 0; i < heads.size(); i++) {
          assertEquals(heads.get(i).version(), i + 1, name + ", seed " + seed);
        }
        ConfigurationSnapshot.build(mesh.head().manifest(), mesh.parts(mesh.head()));
      }
    }

    private static void submits(Mesh mesh, Mesh.Node one, Mesh.Node two, int revision) {
      var first = one.submit(ADA, RED, revision, document(RED, 21));
      var second = two.submit(BEN, RED, revision, document(RED, 22));
      OperatorResult<SubmissionReceipt> a = mesh.await(first);
      OperatorResult<SubmissionReceipt> b = mesh.await(second);
      assertNotEquals(a instanceof Done, b instanceof Done);
      var lost = (Conflict<SubmissionReceipt>) (a instanceof Done ? b : a);
      assertEquals(lost.present().submittedBy(), a instanceof Done ? "ada" : "ben");
      assertEquals(lost.present().revision(), revision + 1);
    }

    private static void amends(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      one.accept(ADA, RED, 0, document(RED, 1));
      submits(mesh, one, two, 1);
    }

    private static void amendAndApprove(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      SubmissionReceipt receipt = mesh.done(one.submit(ADA, RED, 0, document(RED, 1)));
      var amend = one.submit(ADA, RED, 1, document(RED, 2));
      var approve = two.service.approve(BEN, RED, receipt.proposal(), Optional.empty());
      mesh.done(amend);
      var approved = mesh.await(approve);
      assertEquals(
          mesh.accepted(RED),
          approved instanceof Done ? Optional.of(receipt.proposal()) : Optional.empty());
      assertTrue(approved instanceof Done || approved instanceof Conflict, approved.toString());
    }

    private static void approvesOfOneTeam(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      SubmissionReceipt receipt = mesh.done(one.submit(ADA, RED, 0, document(RED, 1)));
      var first = one.service.approve(ADA, RED, receipt.proposal(), Optional.empty());
      var second = two.service.approve(BEN, RED, receipt.proposal(), Optional.empty());
      assertNotEquals(mesh.done(first).acceptedBefore(), mesh.done(second).acceptedBefore());
      assertEquals(mesh.head().version(), 1);
    }

    private static void approvesOfTwoTeams(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      SubmissionReceipt red = mesh.done(one.submit(ADA, RED, 0, document(RED, 1)));
      SubmissionReceipt blue = mesh.done(one.submit(ADA, BLUE, 0, document(BLUE, 1)));
      var first = one.service.approve(ADA, RED, red.proposal(), Optional.empty());
      var second = two.service.approve(BEN, BLUE, blue.proposal(), Optional.empty());
      long sum = mesh.done(first).stamp().version() + mesh.done(second).stamp().version();
      assertEquals(sum, 3);
      assertEquals(mesh.head().manifest().entries().size(), 2);
    }

    private static void overlappingRoutes(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      oneOfTwoIsInvalid(
          mesh,
          one,
          two,
          document(RED, 1, route("r", "/a", RED)),
          document(BLUE, 1, route("b", "/a/b", BLUE)));
    }

    private static void removalOfUsedService(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      one.accept(ADA, RED, 0, document(RED, 1));
      String removal = "member: pamoja\nteam: red\nservices: []\nwork: []\n";
      SubmissionReceipt red = mesh.done(one.submit(ADA, RED, 1, removal));
      String use = document(BLUE, 1, route("w", "/w", RED));
      SubmissionReceipt blue = mesh.done(one.submit(ADA, BLUE, 0, use));
      approveBoth(mesh, one, two, red, blue);
    }

    private static void oneOfTwoIsInvalid(
        Mesh mesh, Mesh.Node one, Mesh.Node two, String redDocument, String blueDocument) {
      SubmissionReceipt red = mesh.done(one.submit(ADA, RED, 0, redDocument));
      SubmissionReceipt blue = mesh.done(one.submit(ADA, BLUE, 0, blueDocument));
      approveBoth(mesh, one, two, red, blue);
    }

    private static void approveBoth(
        Mesh mesh, Mesh.Node one, Mesh.Node two, SubmissionReceipt red, SubmissionReceipt blue) {
      var first = one.service.approve(ADA, RED, red.proposal(), red.base());
      var second = two.service.approve(BEN, BLUE, blue.proposal(), blue.base());
      OperatorResult<ApprovalReceipt> a = mesh.await(first);
      OperatorResult<ApprovalReceipt> b = mesh.await(second);
      assertNotEquals(a instanceof Done, b instanceof Done);
      assertTrue((a instanceof Done ? b : a) instanceof Invalid, a + " " + b);
    }

    /**
     * With one retained version, blue's approval removes the part that red accepts again. The
     * removal arrives late, so that red's approval begins before, between or after.
     */
    private static void partRemoval(Mesh mesh, Mesh.Node one, Mesh.Node two) {
      one.accept(ADA, RED, 0, document(RED, 1));
      one.accept(ADA, RED, 1, document(RED, 2));
      one.accept(ADA, BLUE, 0, document(BLUE, 1));
      SubmissionReceipt red = mesh.done(one.submit(ADA, RED, 2, document(RED, 1)));
      SubmissionReceipt blue = mesh.done(one.submit(ADA, BLUE, 1, document(BLUE, 2)));
      mesh.platform.setFaults(
          (key, write) -> key.endsWith(FaultyPlatform.REMOVAL) ? Fault.LATE : Fault.NONE);
      var second = two.service.approve(BEN, BLUE, blue.proposal(), blue.base());
      mesh.time.advance(Duration.ofMillis(mesh.random.nextInt(400)));
      mesh.done(one.service.approve(ADA, RED, red.proposal(), red.base()));
      mesh.done(second);
      mesh.time.advance(Duration.ofMinutes(1));
    }
  }
}
