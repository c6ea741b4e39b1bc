package io.foxtaildoor.version.approval;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditCursor;
import io.foxtaildoor.process.audit.AuditKind;
import io.foxtaildoor.process.audit.AuditPage;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.platform.FaultyPlatform.Fault;
import io.foxtaildoor.version.approval.OperatorResult.Done;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ApprovalService} with many concurrent operators and seeded random platform faults.
 */
public class ApprovalRandomTest {
  private static final int OPERATORS = 9;
  private static final int NODES = 3;
  private static final Duration LOAD_DURATION = Duration.ofMinutes(2);
  private static final List<TeamId> TEAMS =
      List.of(new TeamId("t0"), new TeamId("t1"), new TeamId("t2"), new TeamId("t3"));

  private record Accepted(TeamId team, Digest proposal, VersionStamp stamp) {}

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L, 0}, {2L, 5}, {3L, 15}, {4L, 30}, {5L, 15}, {6L, 5}};
  }

  /** Guards against skipped, repeated, lost or invalid versions under random interleavings. */
  @Test(dataProvider = "seeds")
  public void randomFaultsKeepVersionsConsecutiveAndValid(long seed, int faultPercent) {
    Scenario scenario = new Scenario(seed, faultPercent);
    scenario.start();
    scenario.mesh.time.advance(LOAD_DURATION);
    scenario.stopped = true;
    scenario.mesh.platform.setFaults((key, write) -> Fault.NONE);
    scenario.mesh.time.advance(Duration.ofMinutes(5));
    assertVersionsFormChain(scenario.mesh);
    assertNoAcceptedVersionIsLost(scenario);
    assertTrue(scenario.accepted.size() > 20, "only " + scenario.accepted.size() + " approvals");
    assertEquals(scenario.mesh.invariants.totalBreaches(), 0);
  }

  /**
   * Asserts that each version differs from its predecessor only in the entry of the approved team.
   */
  private static void assertVersionsFormChain(ApprovalTestMesh mesh) {
    Map<Digest, byte[]> parts = new HashMap<>();
    mesh.platform.effectiveWrites().stream()
        .filter(entry -> entry.key().startsWith("part/") && entry.exists())
        .forEach(entry -> parts.put(Digest.of(entry.value()), entry.value()));
    SortedMap<TeamId, Digest> previous = new TreeMap<>();
    long version = 0;
    for (AcceptedHead head : mesh.writtenHeads()) {
      assertEquals(head.version(), ++version);
      TeamId team = new TeamId(head.record().getApproval().getTeam());
      SortedMap<TeamId, Digest> expected = new TreeMap<>(previous);
      expected.put(team, head.partDigest(team).orElseThrow());
      assertEquals(head.manifest().entries(), expected);
      ConfigurationSnapshot.build(head.manifest(), parts);
      previous = expected;
    }
    ConfigurationSnapshot.build(mesh.head().manifest(), mesh.storedParts(mesh.head()));
  }

  private static void assertNoAcceptedVersionIsLost(Scenario scenario) {
    List<AcceptedHead> heads = scenario.mesh.writtenHeads();
    Set<Long> versions = new HashSet<>();
    for (Accepted accepted : scenario.accepted) {
      AcceptedHead head = heads.get((int) accepted.stamp().version() - 1);
      assertEquals(head.manifest().stamp(), accepted.stamp());
      assertEquals(head.partDigest(accepted.team()).orElseThrow(), accepted.proposal());
      assertTrue(versions.add(accepted.stamp().version()), "a version was assigned twice");
    }
    assertTrue(
        heads.size() - versions.size() <= scenario.unknownOutcomes,
        "versions without a successful or unknown approval result");
    assertEquals(scenario.auditedVersions(), List.copyOf(new TreeSet<>(versions)));
  }

  /** Operators that amend and approve concurrently without coordination. */
  private static final class Scenario {
    private final ApprovalTestMesh mesh;
    private final List<ApprovalTestMesh.Node> nodes = new ArrayList<>();
    private final List<Accepted> accepted = new ArrayList<>();
    private int unknownOutcomes;
    private boolean stopped;

    private Scenario(long seed, int faultPercent) {
      mesh = new ApprovalTestMesh(seed);
      mesh.settings =
          new ApprovalSettings(
              16, Duration.ofMillis(50), Duration.ofSeconds(20), 20, 10, 2, 1 << 20);
      Fault[] faults = Fault.values();
      mesh.platform.setFaults(
          (key, write) ->
              mesh.random.nextInt(100) < faultPercent
                  ? faults[mesh.random.nextInt(faults.length)]
                  : Fault.NONE);
      for (int i = 0; i < NODES; i++) {
        nodes.add(mesh.new Node());
      }
    }

    private void start() {
      for (int i = 0; i < OPERATORS; i++) {
        Operator operator = new Operator("op" + i, ApprovalTestMesh.MEMBER);
        mesh.time.execute(() -> submitOrApprove(operator));
      }
    }

    /** Submits or approves once, then repeats this after a random pause. */
    private void submitOrApprove(Operator operator) {
      if (stopped) {
        return;
      }
      ApprovalTestMesh.Node node = nodes.get(mesh.random.nextInt(NODES));
      TeamId team = TEAMS.get(mesh.random.nextInt(TEAMS.size()));
      var unused =
          node.service
              .show(operator, team)
              .thenCompose(
                  shown -> {
                    if (!(shown instanceof Done<TeamState> done)) {
                      return node.submit(operator, team, 0, document(team)).thenApply(r -> true);
                    }
                    TeamState state = done.value();
                    return mesh.random.nextBoolean()
                        ? node.submit(operator, team, state.revision(), document(team))
                            .thenApply(r -> true)
                        : node.service
                            .approve(operator, team, state.proposalDigest(), state.acceptedDigest())
                            .thenApply(result -> recordApproval(state, result));
                  })
              .thenAccept(
                  done ->
                      mesh.time.schedule(
                          Duration.ofMillis(mesh.random.nextInt(400)),
                          () -> submitOrApprove(operator)));
    }

    /** Returns the versions of all approvals in the audit trail, in ascending order. */
    private List<Long> auditedVersions() {
      List<Long> approvedVersions = new ArrayList<>();
      Optional<AuditCursor> cursor = Optional.empty();
      do {
        AuditPage page =
            mesh.awaitSuccess(
                nodes.get(0).service.audit(ApprovalTestMesh.ADA, cursor, AuditTrail.MAX_PAGE_SIZE));
        page.entries().stream()
            .filter(entry -> entry.kind() == AuditKind.APPROVAL && entry.version() > 0)
            .forEach(entry -> approvedVersions.add(entry.version()));
        cursor = page.next();
      } while (cursor.isPresent());
      approvedVersions.sort(null);
      return approvedVersions;
    }

    private boolean recordApproval(TeamState state, OperatorResult<ApprovalReceipt> result) {
      if (result instanceof Done<ApprovalReceipt> done && !done.value().acceptedBefore()) {
        accepted.add(new Accepted(state.team(), state.proposalDigest(), done.value().stamp()));
      }
      unknownOutcomes += result.errorKind() == ErrorKind.PLATFORM_OUTCOME_UNKNOWN ? 1 : 0;
      return true;
    }

    /**
     * Returns a document that may route to another team's service, overlap with its routes or be
     * empty.
     */
    private String document(TeamId team) {
      TeamId target = TEAMS.get(mesh.random.nextInt(TEAMS.size()));
      String path = "/p" + mesh.random.nextInt(6);
      String fullDocument =
          ApprovalTestMesh.document(
              team, 1 + mesh.random.nextInt(3), ApprovalTestMesh.route("w", path, target));
      String emptyDocument = "member: pamoja\nteam: " + team + "\nservices: []\nwork: []\n";
      return mesh.random.nextInt(8) == 0 ? emptyDocument : fullDocument;
    }
  }
}
