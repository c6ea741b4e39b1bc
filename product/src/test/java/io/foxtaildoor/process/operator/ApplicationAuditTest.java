package io.foxtaildoor.process.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.membership.NodeStatus;
import io.foxtaildoor.process.membership.StatusAnswer;
import io.foxtaildoor.process.platform.VirtualTime;
import io.foxtaildoor.version.approval.ApprovalReceipt;
import io.foxtaildoor.version.approval.Operator;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ApplicationAudit} in virtual time. */
public class ApplicationAuditTest {
  private static final Operator OPERATOR = new Operator("amina", new MemberId("pamoja"));
  private static final Digest DIGEST = Digest.of(new byte[0]);

  private VirtualTime time;
  private FakeFleet fleet;
  private List<AuditEntry> entries;
  private ApplicationAudit audit;

  /** A fleet whose nodes hold the listed versions; 0 means that the node does not answer. */
  private static final class FakeFleet implements ApplicationAudit.Fleet {
    private List<Integer> versions = List.of(0, 0, 0);
    private int queries;

    @Override
    public int size() {
      return versions.size();
    }

    @Override
    public CompletableFuture<List<StatusAnswer>> queryStatus() {
      queries++;
      List<StatusAnswer> answers = new ArrayList<>();
      for (int version : versions) {
        answers.add(new StatusAnswer(node(answers.size()), status(version)));
      }
      return CompletableFuture.completedFuture(answers);
    }

    private static Optional<NodeStatus> status(int version) {
      return version == 0
          ? Optional.empty()
          : Optional.of(new NodeStatus(new VersionStamp(version, DIGEST), 0, "", 0));
    }

    private static NodeRecord node(int index) {
      return new NodeRecord(
          new NodeId("n" + index),
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + index),
          new RegionId("oslo"),
          new DataCentreId("oslo-a"),
          1,
          NodeState.ALIVE,
          Optional.empty());
    }
  }

  @BeforeMethod
  public void setUp() {
    time = new VirtualTime();
    fleet = new FakeFleet();
    entries = new ArrayList<>();
    audit = new ApplicationAudit(fleet, entries::add, time, time::nowMillis, () -> "id");
  }

  private void accept(long version, boolean acceptedBefore) {
    VersionStamp stamp = new VersionStamp(version, DIGEST);
    audit.trackApproval(OPERATOR, new ApprovalReceipt(new TeamId("team"), stamp, acceptedBefore));
  }

  /**
   * Guards against an entry that is written before all nodes hold the version, and against a
   * duplicate entry.
   */
  @Test
  public void recordsOnceWhenInForceEverywhere() {
    fleet.versions = List.of(4, 4, 3);
    accept(4, false);
    time.advance(Duration.ofSeconds(10));
    assertTrue(entries.isEmpty());
    fleet.versions = List.of(4, 4, 5);
    time.advance(Duration.ofMinutes(5));
    assertEquals(entries.size(), 1);
    assertEquals(entries.get(0).version(), 4);
    assertTrue(entries.get(0).detail().startsWith("in force on 3 of 3 nodes"));
  }

  /** Guards against tracking that ends without an entry when a node never applies the version. */
  @Test
  public void recordsPartialApplicationAfterTimeout() {
    fleet.versions = List.of(4, 0, 3);
    accept(4, false);
    time.advance(Duration.ofMinutes(5));
    assertEquals(entries.size(), 1);
    assertTrue(entries.get(0).detail().startsWith("in force on 1 of 3 nodes"));
  }

  /** Guards against a number of status queries that grows with the number of approvals. */
  @Test
  public void newerVersionReplacesOlder() {
    fleet.versions = List.of(1, 1, 1);
    for (int version = 2; version <= 20; version++) {
      accept(version, false);
      time.advance(Duration.ofMillis(100));
    }
    fleet.versions = List.of(20, 20, 20);
    time.advance(Duration.ofMinutes(5));
    assertEquals(entries.size(), 1);
    assertEquals(entries.get(0).version(), 20);
    assertTrue(fleet.queries <= 4, "queries " + fleet.queries);
  }

  /** Guards against an audit that tracks no further version after its first entry. */
  @Test
  public void tracksNextVersionAfterEntry() {
    fleet.versions = List.of(2, 2);
    accept(1, false);
    time.advance(Duration.ofSeconds(5));
    accept(2, false);
    time.advance(Duration.ofSeconds(5));
    assertEquals(entries.stream().map(AuditEntry::version).toList(), List.of(1L, 2L));
  }

  /** Guards against tracking of an approval that changed nothing. */
  @Test
  public void repeatedApprovalIsNotTracked() {
    accept(4, true);
    time.advance(Duration.ofMinutes(5));
    assertEquals(fleet.queries, 0);
  }
}
