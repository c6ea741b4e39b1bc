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
import io.foxtaildoor.version.manifest.HeldConfiguration;
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

/** Many concurrent operators under random faults, from a seed. */
public class ApprovalRandomTest {
  private static final int OPERATORS = 9;
  private static final int NODES = 3;
  private static final Duration SPAN = Duration.ofMinutes(2);
  private static final List<TeamId> TEAMS =
      List.of(new TeamId("t0"), new TeamId("t1"), new TeamId("t2"), new TeamId("t3"));

  private record Accepted(TeamId team, Digest proposal, VersionStamp stamp) {}

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L, 0}, {2L, 5}, {3L, 15}, {4L, 30}, {5L, 15}, {6L, 5}};
  }

  /** Guards against skipped, repeated, lost or invalid versions under any interleaving. */
  @Test(dataProvider = "seeds")
  public void versionsFormOneValidChain(long seed, int faultPercent) {
    Run run = new Run(seed, faultPercent);
    run.start();
    run.mesh.time.advance(SPAN);
    run.stopped = true;
    run.mesh.platform.setFaults((key, write) -> Fault.NONE);
    run.mesh.time.advance(Duration.ofMinutes(5));
    checkChain(run.mesh);
    checkNothingAcceptedIsLost(run);
    assertTrue(run.accepted.size() > 20, "only " + run.accepted.size() + " approvals");
    assertEquals(run.mesh.invariants.totalBreaches(), 0);
  }

  /** Each version follows the former one and differs only in the entry of the approved team. */
  private static void checkChain(Mesh mesh) {
    Map<Digest, byte[]> parts = new HashMap<>();
    mesh.platform.effectiveWrites().stream()
        .filter(entry -> entry.key().startsWith("part/") && entry.exists())
        .forEach(entry -> parts.put(Digest.of(entry.value()), entry.value()));
    SortedMap<TeamId, Digest> former = new TreeMap<>();
    long version = 0;
    for (AcceptedHead head : mesh.heads()) {
      assertEquals(head.version(), ++version);
      TeamId team = new TeamId(head.record().getApproval().getTeam());
      SortedMap<TeamId, Digest> expected = new TreeMap<>(former);
      expected.put(team, head.partOf(team).orElseThrow());
      assertEquals(head.manifest().entries(), expected);
      HeldConfiguration.build(head.manifest(), parts);
      former = expected;
    }
    HeldConfiguration.build(mesh.head().manifest(), mesh.parts(mesh.head()));
  }

  private static void checkNothingAcceptedIsLost(Run run) {
    List<AcceptedHead> heads = run.mesh.heads();
    Set<Long> versions = new HashSet<>();
    for (Accepted accepted : run.accepted) {
      AcceptedHead head = heads.get((int) accepted.stamp().version() - 1);
      assertEquals(head.manifest().stamp(), accepted.stamp());
      assertEquals(head.partOf(accepted.team()).orElseThrow(), accepted.proposal());
      assertTrue(versions.add(accepted.stamp().version()), "a version was given twice");
    }
    assertTrue(heads.size() - versions.size() <= run.unsettled, "versions nobody was told of");
    assertEquals(run.auditedVersions(), List.copyOf(new TreeSet<>(versions)));
  }

  /** One run of operators who amend and approve without looking at each other. */
  private static final class Run {
    private final Mesh mesh;
    private final List<Mesh.Node> nodes = new ArrayList<>();
    private final List<Accepted> accepted = new ArrayList<>();
    private int unsettled;
    private boolean stopped;

    private Run(long seed, int faultPercent) {
      mesh = new Mesh(seed);
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
        Operator operator = new Operator("op" + i, Mesh.MEMBER);
        mesh.time.execute(() -> act(operator));
      }
    }

    /** Submits or approves once and goes on after a pause. */
    private void act(Operator operator) {
      if (stopped) {
        return;
      }
      Mesh.Node node = nodes.get(mesh.random.nextInt(NODES));
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
                            .approve(operator, team, state.proposal(), state.accepted())
                            .thenApply(result -> note(state, result));
                  })
              .thenAccept(
                  done ->
                      mesh.time.schedule(
                          Duration.ofMillis(mesh.random.nextInt(400)), () -> act(operator)));
    }

    /** Versions of the approvals in the audit trail, in ascending order. */
    private List<Long> auditedVersions() {
      List<Long> found = new ArrayList<>();
      Optional<AuditCursor> cursor = Optional.empty();
      do {
        AuditPage page =
            mesh.done(nodes.get(0).service.audit(Mesh.ADA, cursor, AuditTrail.MAX_PAGE_SIZE));
        page.entries().stream()
            .filter(entry -> entry.kind() == AuditKind.APPROVAL && entry.version() > 0)
            .forEach(entry -> found.add(entry.version()));
        cursor = page.next();
      } while (cursor.isPresent());
      found.sort(null);
      return found;
    }

    private boolean note(TeamState state, OperatorResult<ApprovalReceipt> result) {
      if (result instanceof Done<ApprovalReceipt> done && !done.value().acceptedBefore()) {
        accepted.add(new Accepted(state.team(), state.proposal(), done.value().stamp()));
      }
      unsettled += result.errorKind() == ErrorKind.PLATFORM_OUTCOME_UNKNOWN ? 1 : 0;
      return true;
    }

    /** A document that sometimes routes to, or overlaps with, another team. */
    private String document(TeamId team) {
      TeamId target = TEAMS.get(mesh.random.nextInt(TEAMS.size()));
      String path = "/p" + mesh.random.nextInt(6);
      String full = Mesh.document(team, 1 + mesh.random.nextInt(3), Mesh.route("w", path, target));
      String empty = "member: pamoja\nteam: " + team + "\nservices: []\nwork: []\n";
      return mesh.random.nextInt(8) == 0 ? empty : full;
    }
  }
}
