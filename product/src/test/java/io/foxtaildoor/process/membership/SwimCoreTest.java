package io.foxtaildoor.process.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.FakeNetwork.Node;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.StateExchange;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link SwimCore} in a simulated fleet with virtual time. */
public class SwimCoreTest {
  private static final ServiceId SERVICE = new ServiceId("bookings");
  private static final Duration LIMIT = Duration.ofMinutes(10);

  private static FakeNetwork network(long seed) {
    return new FakeNetwork(MembershipSettings.defaults(), seed);
  }

  private static FakeNetwork joinedFleet(long seed, int size, List<Node> fleet) {
    FakeNetwork network = network(seed);
    fleet.addAll(network.startFleet(size));
    network.runUntil(LIMIT, () -> network.converged() && fleet.stream().allMatch(n -> n.joined));
    return network;
  }

  /** Network failures. */
  public static final class NetworkFailures {
    /**
     * Guards against live nodes being declared dead, even temporarily, because of ordinary packet
     * loss.
     */
    @Test
    public void lossDuplicationAndReorderingCauseNoFalseDeaths() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(1, 40, fleet);
      network.loss = 0.05;
      network.duplication = 0.1;
      network.maxDelay = Duration.ofMillis(150);
      network.run(Duration.ofMinutes(5));
      for (Node node : fleet) {
        assertFalse(
            node.changesByState.containsKey(NodeState.DEAD), node.id() + " " + node.changesByState);
      }
      assertTrue(network.converged());
    }

    /**
     * Guards against sides of a partition that never find each other again, or that declare live
     * nodes dead after it heals.
     */
    @Test
    public void healedPartitionConvergesWithoutFalseDeaths() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(2, 40, fleet);
      network.blocked = (from, to) -> partitionSide(from) != partitionSide(to);
      network.run(Duration.ofMinutes(3));
      assertEquals(fleet.get(0).liveNodeCount(), 20);
      fleet.forEach(node -> node.changesByState.clear());
      network.blocked = (from, to) -> false;
      network.runUntil(Duration.ofMinutes(4), network::converged);
      for (Node node : fleet) {
        assertFalse(
            node.changesByState.containsKey(NodeState.DEAD), node.id() + " " + node.changesByState);
      }
    }

    private static int partitionSide(InetSocketAddress address) {
      return address.getAddress().getAddress()[3] % 2;
    }
  }

  /** Process failures. */
  public static final class ProcessFailures {
    /** Guards against dead nodes that stay in the fleet, or that state exchanges bring back. */
    @Test
    public void killedNodeIsMarkedDeadAndForgotten() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(3, 30, fleet);
      Node killed = fleet.get(7);
      network.kill(killed);
      network.runUntil(Duration.ofSeconds(60), network::converged);
      network.run(Duration.ofMinutes(130));
      for (Node node : network.nodes.values()) {
        assertEquals(node.stateOf(killed), null);
        assertEquals(node.liveNodeCount(), 29);
      }
    }

    /**
     * Guards against a paused node that stays dead after it resumes, or that then declares all
     * other nodes dead.
     */
    @Test
    public void pausedNodeRejoinsAfterResume() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(4, 30, fleet);
      Node paused = fleet.get(9);
      paused.paused = true;
      network.runUntil(LIMIT, () -> fleet.get(1).stateOf(paused) == NodeState.DEAD);
      network.run(Duration.ofSeconds(60));
      network.resume(paused);
      network.runUntil(Duration.ofSeconds(30), network::converged);
      assertFalse(
          paused.changesByState.containsKey(NodeState.DEAD), paused.changesByState.toString());
    }

    /**
     * Guards against a restarted node that knows no instance while the platform, which holds the
     * contact addresses, is down: other nodes still send datagrams to its address.
     */
    @Test
    public void nodeRestartedWithoutContactsRejoins() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(12, 10, fleet);
      // By now gossip has spread all records and no longer repeats them.
      network.run(Duration.ofMinutes(2));
      network.kill(fleet.get(4));
      Node restarted = network.start(4, 200, List.of());
      network.runUntil(Duration.ofSeconds(5), () -> restarted.liveNodeCount() == 10);
      assertTrue(restarted.joined);
    }

    /**
     * Guards against restarted nodes that stay alone while the platform is down, although the nodes
     * that kept running still send datagrams to their addresses.
     */
    @Test
    public void halfOfFleetRestartedWithoutContactsRejoins() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(13, 20, fleet);
      network.run(Duration.ofMinutes(2));
      for (int host = 0; host < 20; host += 2) {
        network.start(host, 200, List.of());
      }
      network.runUntil(Duration.ofSeconds(30), network::converged);
    }

    /**
     * Guards against nodes that restart together while the platform is down, join through each
     * other, and find none of the nodes that kept running.
     */
    @Test
    public void nodesRestartedTogetherFindThoseThatKeptRunning() {
      for (int seed = 0; seed < 40; seed++) {
        List<Node> fleet = new ArrayList<>();
        FakeNetwork network = joinedFleet(seed, 4, fleet);
        network.run(Duration.ofSeconds(20));
        network.kill(fleet.get(0));
        network.kill(fleet.get(1));
        network.run(Duration.ofMillis(500));
        network.start(0, 200, List.of());
        network.start(1, 200, List.of());
        network.runUntil(Duration.ofSeconds(10), network::converged);
      }
    }

    /**
     * Guards against a fleet that restarted as a whole and does not come together once the platform
     * tells the contact addresses.
     */
    @Test
    public void fleetRestartedWithoutContactsJoinsOncePlatformTellsThem() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(14, 20, fleet);
      fleet.forEach(network::kill);
      // No datagram of the previous processes is under way any more.
      network.run(Duration.ofSeconds(1));
      List<Node> restarted = new ArrayList<>();
      for (int host = 0; host < 20; host++) {
        restarted.add(network.start(host, 200, List.of()));
      }
      network.run(Duration.ofSeconds(20));
      restarted.forEach(node -> assertEquals(node.liveNodeCount(), 1));
      List<InetSocketAddress> contacts = List.of(restarted.get(0).address());
      restarted.forEach(node -> node.core.setContacts(contacts));
      network.runUntil(Duration.ofSeconds(30), network::converged);
    }

    /**
     * Guards against joins that fail while many nodes restart, and against ids of previous
     * processes that remain live.
     */
    @Test
    public void massRestartConverges() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(5, 60, fleet);
      for (int host = 0; host < 60; host += 2) {
        network.start(host, 200);
      }
      network.runUntil(Duration.ofSeconds(60), network::converged);
    }

    /**
     * Guards against a previous process that stays live because its successor answers at the same
     * address.
     */
    @Test
    public void restartAtSameAddressReplacesPreviousProcess() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(6, 30, fleet);
      Node previous = fleet.get(11);
      Node replacement = network.start(11, 200);
      network.runUntil(Duration.ofSeconds(10), network::converged);
      for (Node node : network.nodes.values()) {
        assertTrue(node == replacement || node.stateOf(previous) == NodeState.DEAD);
      }
    }

    /**
     * Guards against a new process that is overridden by its predecessor, whose incarnation is
     * higher because the clock was set back.
     */
    @Test
    public void restartWithLowerIncarnationReplacesPreviousProcess() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(7, 30, fleet);
      Node previous = fleet.get(12);
      network.start(12, 50);
      network.runUntil(Duration.ofSeconds(30), network::converged);
      assertEquals(fleet.get(3).stateOf(previous), NodeState.DEAD);
    }
  }

  /** Planned changes of a node: leaving, announcing and withdrawing. */
  public static final class PlannedChanges {
    /**
     * Guards against new work being sent to a leaving node, and against a push that misses nodes.
     */
    @Test
    public void leavingIsKnownToAllWithinTwoSeconds() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(8, 100, fleet);
      network.loss = 0.05;
      Node leaving = fleet.get(20);
      leaving.core.announce(SERVICE, 9, network.now, network.now);
      network.run(Duration.ofSeconds(5));
      leaving.core.leave(network.now);
      network.perform(leaving);
      network.run(Duration.ofSeconds(2));
      assertTrue(leaving.leavingPushed);
      for (Node node : fleet) {
        assertEquals(node.stateOf(leaving), NodeState.LEAVING);
        assertTrue(node.core.index().find(SERVICE).isEmpty());
      }
      leaving.core.markLeft(network.now);
      network.perform(leaving);
      network.kill(leaving);
      network.runUntil(Duration.ofSeconds(60), network::converged);
      network.run(Duration.ofMinutes(15));
      assertEquals(fleet.get(1).stateOf(leaving), null);
    }

    /** Guards against new work being sent to a draining upstream whose node keeps running. */
    @Test
    public void withdrawalIsKnownToAllWithinTwoSeconds() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(15, 100, fleet);
      Node draining = fleet.get(20);
      draining.core.announce(SERVICE, 9, network.now, network.now);
      network.runUntil(LIMIT, () -> network.upstreamsKnown(SERVICE, 1));
      draining.core.withdraw(network.now);
      network.perform(draining);
      network.run(Duration.ofSeconds(2));
      assertTrue(network.upstreamsKnown(SERVICE, 0));
      assertEquals(fleet.get(1).stateOf(draining), NodeState.ALIVE);
    }

    /** Guards against a concurrent suspicion that overrides an announced departure. */
    @Test
    public void concurrentLeaveAndSuspicionEndsAsLeaving() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(9, 20, fleet);
      Node leaving = fleet.get(5);
      network.blocked = (from, to) -> to.equals(leaving.address());
      network.runUntil(LIMIT, () -> fleet.get(1).stateOf(leaving) == NodeState.SUSPECT);
      leaving.core.leave(network.now);
      network.perform(leaving);
      network.blocked = (from, to) -> false;
      network.run(Duration.ofSeconds(10));
      for (Node node : fleet) {
        assertEquals(node.stateOf(leaving), NodeState.LEAVING);
      }
    }

    /** Guards against announcements that expire although they are renewed, or that never expire. */
    @Test
    public void announcementExpiresUnlessRenewed() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(10, 10, fleet);
      Node node = fleet.get(4);
      for (int i = 0; i < 10; i++) {
        node.core.announce(SERVICE, 9, network.now, network.now);
        network.run(Duration.ofSeconds(2));
      }
      List<NodeRecord> found = fleet.get(0).core.index().find(SERVICE);
      assertEquals(found.size(), 1);
      assertEquals(found.get(0).upstream().orElseThrow().slots(), 9);
      network.run(Duration.ofSeconds(20));
      assertTrue(fleet.get(0).core.index().find(SERVICE).isEmpty());
    }

    /** Guards against an older record that undoes an update. */
    @Test
    public void olderRecordNeverReplacesNewer() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(11, 5, fleet);
      Node node = fleet.get(2);
      NodeRecord oldRecord = node.core.self();
      node.core.announce(SERVICE, 9, network.now, network.now);
      network.run(Duration.ofSeconds(5));
      NodeRecordCodec codec = new NodeRecordCodec();
      for (NodeState state : NodeState.values()) {
        NodeRecord stale = NodeRecords.withState(oldRecord, state);
        fleet
            .get(0)
            .core
            .mergeExchange(
                StateExchange.newBuilder().addRecords(codec.encode(stale, network.now)).build(),
                network.now);
        assertEquals(fleet.get(0).core.index().find(SERVICE).size(), 1, state.toString());
      }
    }
  }

  /** Version notices and status queries. */
  public static final class NoticesAndQueries {
    /** Guards against status replies that are lost or attributed to the wrong node. */
    @Test
    public void statusQueryReportsEveryNode() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(12, 50, fleet);
      network.kill(fleet.get(30));
      fleet.get(3).core.queryStatus(Duration.ofSeconds(2).toNanos(), network.now);
      network.run(Duration.ofSeconds(3));
      List<StatusAnswer> answers = fleet.get(3).statusAnswers;
      assertEquals(answers.size(), 50);
      for (StatusAnswer answer : answers) {
        boolean killed = answer.node().id().equals(fleet.get(30).id());
        assertEquals(answer.status().isEmpty(), killed, answer.node().id().toString());
      }
    }

    /** Guards against version notices that reach too few nodes or lose their version. */
    @Test
    public void versionNoticesReachDistinctNodes() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(13, 50, fleet);
      VersionStamp stamp = new VersionStamp(7, VersionStamp.NONE.digest());
      fleet.get(0).core.sendNotices(stamp, 4, network.now);
      network.perform(fleet.get(0));
      network.run(Duration.ofMillis(40));
      assertEquals(fleet.stream().filter(node -> node.heardVersions.contains(stamp)).count(), 4);
    }

    /** Guards against steady-state traffic of a node that exceeds the budget of 3 KB/s. */
    @Test
    public void idleTrafficStaysBelowBudget() {
      List<Node> fleet = new ArrayList<>();
      FakeNetwork network = joinedFleet(14, 50, fleet);
      network.run(Duration.ofMinutes(2));
      long before = fleet.get(8).counters.value(Counter.SENT_BYTES);
      network.run(Duration.ofSeconds(100));
      long perSecond = (fleet.get(8).counters.value(Counter.SENT_BYTES) - before) / 100;
      assertTrue(perSecond < 500, perSecond + " bytes/s");
    }
  }
}
