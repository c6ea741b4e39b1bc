package io.foxtaildoor.process.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReaderSelection}. */
public class ReaderSelectionTest {
  /** Time after which nodes must act on a change although connections went silent before it. */
  private static final Duration LIMIT = Duration.ofSeconds(3);

  /** Time after which the nodes of a managed platform abandon a call beyond its wait. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{1, 1}, {8, 3}, {81, 4}, {600, 5}};
  }

  private static List<NodeRecord> fleet(int nodes, int dataCentres) {
    List<NodeRecord> fleet = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      fleet.add(
          new NodeRecord(
              new NodeId("node-" + i),
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 7_000 + i),
              new RegionId("oslo"),
              new DataCentreId("oslo-" + (char) ('a' + i % dataCentres)),
              1,
              NodeState.ALIVE,
              Optional.empty()));
    }
    return fleet;
  }

  private static NodeRecord dead(NodeRecord node) {
    return new NodeRecord(
        node.id(),
        node.address(),
        node.region(),
        node.dataCentre(),
        node.incarnation(),
        NodeState.DEAD,
        node.upstream());
  }

  private static List<NodeRecord> leadReaders(List<NodeRecord> fleet) {
    return fleet.stream()
        .filter(node -> node.state() == NodeState.ALIVE)
        .filter(
            node -> ReaderSelection.watchWait(node, fleet).plus(CALL_TIMEOUT).compareTo(LIMIT) < 0)
        .toList();
  }

  /**
   * Guards against a fleet whose watches have all begun at the same time, as after a change, and
   * then hang on silent connections for longer than the configuration may be out of date.
   */
  @Test(dataProvider = "fleets")
  public void oneReaderNoticesSilentConnectionsInTime(int nodes, int dataCentres) {
    List<NodeRecord> fleet = fleet(nodes, dataCentres);
    List<NodeRecord> leads = leadReaders(fleet);
    assertEquals(leads.size(), 1);
    assertTrue(ReaderSelection.isReader(leads.get(0), fleet));
  }

  /** Guards against a fleet without a lead reader after that node or its data centre was lost. */
  @Test
  public void lostLeadReaderIsReplaced() {
    List<NodeRecord> fleet = fleet(8, 3);
    while (fleet.stream().anyMatch(node -> node.state() == NodeState.ALIVE)) {
      List<NodeRecord> leads = leadReaders(fleet);
      assertEquals(leads.size(), 1);
      fleet.replaceAll(node -> node.equals(leads.get(0)) ? dead(node) : node);
    }
  }

  /** Guards against a load on the platform that grows with the fleet. */
  @Test
  public void numberOfReadersIsLimited() {
    List<NodeRecord> fleet = fleet(600, 5);
    long readers = fleet.stream().filter(node -> ReaderSelection.isReader(node, fleet)).count();
    assertEquals(readers, 5 * 32);
  }
}
