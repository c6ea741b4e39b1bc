package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the nodes that read the configuration from a managed platform, and how long their watches
 * wait for a change. In each data centre the readers are the first nodes by rendezvous hashing, so
 * no election has to be stored on the platform, and in a small fleet every node is a reader.
 *
 * <p>A watch on a connection that went silent misses a change until the watch is abandoned. One
 * reader of the fleet, the lead reader, uses a short wait, and the others then learn of the change
 * from it. Because their own waits are longer for that, the number of calls hardly changes.
 */
public final class ReaderSelection {
  /**
   * Maximum number of nodes in a data centre that read the configuration from the platform. In 11
   * data centres these are 352 pending watches, which make 88 calls per second.
   */
  private static final int MAX_READERS = 32;

  /**
   * A silent connection is noticed after this time and the call timeout of 1 s. That leaves 1 s for
   * passing on a change that the nodes must act on 3 s after the silence.
   */
  private static final Duration LEAD_READER_WAIT = Duration.ofSeconds(1);

  private static final Duration READER_WAIT = Duration.ofSeconds(4);

  private ReaderSelection() {}

  /** Returns whether a node reads the configuration, given the nodes of the fleet. */
  public static boolean isReader(NodeRecord self, Collection<NodeRecord> fleet) {
    return position(self, fleet) < MAX_READERS;
  }

  /** Returns the time for which a reader's watch waits for a change. */
  public static Duration watchWait(NodeRecord self, Collection<NodeRecord> fleet) {
    return isLeadReader(self, fleet) ? LEAD_READER_WAIT : READER_WAIT;
  }

  private static boolean isLeadReader(NodeRecord self, Collection<NodeRecord> fleet) {
    DataCentreId firstDataCentre =
        fleet.stream()
            .filter(node -> isCandidate(node, self))
            .map(NodeRecord::dataCentre)
            .min(Comparator.comparing(DataCentreId::value))
            .orElse(self.dataCentre());
    return firstDataCentre.equals(self.dataCentre()) && position(self, fleet) == 0;
  }

  private static int position(NodeRecord self, Collection<NodeRecord> fleet) {
    List<NodeId> localNodes =
        fleet.stream()
            .filter(node -> isCandidate(node, self))
            .filter(node -> node.dataCentre().equals(self.dataCentre()))
            .map(NodeRecord::id)
            .toList();
    RendezvousOrder order = new RendezvousOrder(self.dataCentre().value(), "readers");
    return order.position(self.id(), localNodes);
  }

  private static boolean isCandidate(NodeRecord node, NodeRecord self) {
    return node.state() == NodeState.ALIVE || node.id().equals(self.id());
  }
}
