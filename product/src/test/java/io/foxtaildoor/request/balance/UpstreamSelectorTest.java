package io.foxtaildoor.request.balance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import io.foxtaildoor.process.membership.NodeRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamSelector}. */
public class UpstreamSelectorTest {
  private static final long MILLI = Duration.ofMillis(1).toNanos();
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final int DRAWS = 2_000;

  private SplittableRandom random;
  private UpstreamSelector selector;

  @BeforeMethod
  public void createSelector() {
    random = new SplittableRandom(7);
    selector = new UpstreamSelector(BalanceSettings.defaults(), Fleet.REGION, Fleet.HOME);
  }

  private Selection choose(List<NodeRecord> nodes, long now) {
    return selector.choose(Fleet.SERVICE, nodes, Set.of(), true, now, random).orElseThrow();
  }

  private Map<NodeId, Integer> counts(List<NodeRecord> nodes, long now) {
    Map<NodeId, Integer> counts = new HashMap<>();
    for (int i = 0; i < DRAWS; i++) {
      Selection selection = choose(nodes, now);
      counts.merge(selection.node().id(), 1, Integer::sum);
      selector.finish(selection, AttemptResult.ABANDONED, 0, now);
    }
    return counts;
  }

  private long ejected() {
    return selector.status(Fleet.SERVICE, 0).stream().filter(InstanceStatus::ejected).count();
  }

  private void fail(List<NodeRecord> nodes, NodeRecord node, int times, long now) {
    for (int i = 0; i < times; i++) {
      Selection selection = selector.select(Fleet.SERVICE, nodes, node.id(), now).orElseThrow();
      selector.finish(selection, AttemptResult.FAILED, 0, now);
    }
  }

  /** Guards against a node that sends all its requests to the instance that looked idle. */
  @Test
  public void ownRequestsInFlightAreSpread() {
    List<NodeRecord> nodes = Fleet.warm(5, Fleet.HOME);
    Map<NodeId, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 30; i++) {
      inFlight.merge(choose(nodes, 0).node().id(), 1, Integer::sum);
    }
    assertEquals(inFlight.size(), 5);
    inFlight.values().forEach(count -> assertTrue(count <= 9, "requests on one: " + count));
  }

  /** Guards against a round-robin baseline that does not spread requests evenly. */
  @Test
  public void roundRobinTakesEachInstanceInTurn() {
    selector =
        new UpstreamSelector(
            BalanceSettings.defaults().withSelectionMode(SelectionMode.ROUND_ROBIN),
            Fleet.REGION,
            Fleet.HOME);
    Map<NodeId, Integer> counts = counts(Fleet.warm(5, Fleet.AWAY), 0);
    assertEquals(counts.size(), 5);
    counts.values().forEach(count -> assertEquals(count.intValue(), DRAWS / 5));
  }

  /** Guards against using a load report after it is out of date. */
  @Test
  public void staleLoadReportsLoseTheirWeight() {
    List<NodeRecord> nodes = Fleet.warm(2, Fleet.HOME);
    Selection selection = selector.select(Fleet.SERVICE, nodes, nodes.get(0).id(), 0).orElseThrow();
    selector.report(selection, new ReportedLoad(40, 9), 0);
    InstanceStatus status = selector.status(Fleet.SERVICE, 0).get(0);
    assertEquals(status.inFlight(), 1);
    assertEquals(status.occupancy(), 40.0 / 9);
    selector.finish(selection, AttemptResult.ABANDONED, 0, 0);
    assertFalse(
        counts(nodes, 1).containsKey(nodes.get(0).id()), "a full instance received requests");
    int later = counts(nodes, SECOND).getOrDefault(nodes.get(0).id(), 0);
    assertTrue(later > DRAWS / 3, "requests after one second: " + later);
  }

  /**
   * Guards against cross-data-centre traffic while the own data centre has capacity, and against
   * staying local when it has none.
   */
  @Test
  public void spillsOverOnlyWhenTheOwnDataCentreIsLoaded() {
    List<NodeRecord> nodes = new ArrayList<>(Fleet.warm(2, Fleet.HOME));
    nodes.add(Fleet.node(7, Fleet.AWAY, -3600 * SECOND));
    assertFalse(
        counts(nodes, 0).containsKey(new NodeId("node-7")), "left its data centre without need");
    Set<NodeId> used = new HashSet<>();
    for (int i = 0; i < 2 * Fleet.SLOTS; i++) {
      used.add(choose(nodes, 0).node().id());
    }
    assertTrue(used.contains(new NodeId("node-7")), "did not spill over from loaded instances");
  }

  /** Guards against a full share of the load on an instance that has just started. */
  @Test
  public void newInstancesStartSlowly() {
    List<NodeRecord> nodes = new ArrayList<>(Fleet.warm(4, Fleet.HOME));
    nodes.add(Fleet.node(9, Fleet.HOME, 0));
    NodeId fresh = new NodeId("node-9");
    int atStart = counts(nodes, 0).getOrDefault(fresh, 0);
    int warm = counts(nodes, 10 * SECOND).getOrDefault(fresh, 0);
    assertTrue(atStart > 0 && atStart < DRAWS / 20, "requests at its start: " + atStart);
    assertTrue(warm > DRAWS / 8, "requests after slow start: " + warm);
  }

  /**
   * Guards against an ejected instance that returns at once, never, or with many requests at a
   * time.
   */
  @Test
  public void ejectedInstanceReturnsThroughSingleProbeWithBackoff() {
    List<NodeRecord> nodes = Fleet.warm(4, Fleet.HOME);
    NodeRecord failing = nodes.get(1);
    fail(nodes, failing, 5, 0);
    assertEquals(ejected(), 1);
    assertFalse(counts(nodes, SECOND - 1).containsKey(failing.id()));
    Selection probe = firstSelectionOf(failing, nodes, SECOND);
    assertTrue(probe.isProbe());
    assertFalse(counts(nodes, SECOND).containsKey(failing.id()), "two concurrent probes");
    selector.finish(probe, AttemptResult.FAILED, 0, SECOND);
    assertFalse(
        counts(nodes, 3 * SECOND - 1).containsKey(failing.id()),
        "no back-off after a failed probe");
    Selection second = firstSelectionOf(failing, nodes, 3 * SECOND);
    selector.finish(second, AttemptResult.ANSWERED, MILLI, 3 * SECOND);
    assertEquals(ejected(), 0);
  }

  private Selection firstSelectionOf(NodeRecord node, List<NodeRecord> nodes, long now) {
    for (int i = 0; i < 100; i++) {
      Selection selection = choose(nodes, now);
      if (selection.node().equals(node)) {
        return selection;
      }
      selector.finish(selection, AttemptResult.ABANDONED, 0, now);
    }
    throw new AssertionError("the instance was never probed");
  }

  /**
   * Guards against ejecting all instances of a service when all of them fail, for 1 to 12
   * instances.
   */
  @Test
  public void ejectsAtMostHalfAndNeverEmptiesAService() {
    for (int count = 1; count <= 12; count++) {
      UpstreamSelectorTest test = new UpstreamSelectorTest();
      test.createSelector();
      List<NodeRecord> nodes = Fleet.warm(count, Fleet.HOME);
      nodes.forEach(node -> test.fail(nodes, node, 50, 0));
      assertEquals(test.ejected(), count / 2);
      Set<NodeId> tried = new HashSet<>();
      for (int i = 0; i < count; i++) {
        Selection selection =
            test.selector.choose(Fleet.SERVICE, nodes, tried, true, 1, test.random).orElseThrow();
        assertTrue(tried.add(selection.node().id()), "the same instance was chosen twice");
      }
      assertTrue(test.selector.choose(Fleet.SERVICE, nodes, tried, true, 1, test.random).isEmpty());
    }
  }

  /**
   * Guards against keeping the state of removed nodes, and against recording late results for them.
   */
  @Test
  public void stateOfRemovedNodesIsDropped() {
    List<NodeRecord> nodes = Fleet.warm(6, Fleet.HOME);
    Selection late = choose(nodes, 0);
    fail(nodes, nodes.get(5), 5, 0);
    List<NodeRecord> left = nodes.subList(0, 2);
    choose(left, 0);
    selector.finish(late, AttemptResult.FAILED, 0, 0);
    assertEquals(selector.status(Fleet.SERVICE, 0).size(), 2);
    assertEquals(ejected(), 0);
  }

  /** Guards against keys that move to another instance although their own instance remains. */
  @Test
  public void rendezvousMovesOnlyTheKeysOfALostInstance() {
    List<NodeRecord> nodes = Fleet.warm(12, Fleet.HOME);
    List<NodeRecord> fewer = nodes.subList(1, 12);
    Map<NodeId, Integer> share = new HashMap<>();
    for (int i = 0; i < 6_000; i++) {
      String key = "key-" + i;
      RendezvousOrder order = new RendezvousOrder(Fleet.SERVICE.value(), key);
      NodeRecord first = order.first(nodes, NodeRecord::id).orElseThrow();
      NodeRecord after = order.first(fewer, NodeRecord::id).orElseThrow();
      share.merge(first.id(), 1, Integer::sum);
      if (first.equals(nodes.get(0))) {
        assertNotEquals(after, first);
      } else {
        assertEquals(after, first);
      }
    }
    share
        .values()
        .forEach(n -> assertTrue(n > 350 && n < 650, "uneven number of keys on an instance: " + n));
  }
}
