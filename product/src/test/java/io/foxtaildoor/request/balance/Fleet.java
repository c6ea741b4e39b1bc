package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Node records and ids for tests of the upstream selection. */
final class Fleet {
  static final ServiceId SERVICE = new ServiceId("bookings");
  static final RegionId REGION = new RegionId("ke-central");
  static final DataCentreId HOME = new DataCentreId("ke-central-a");
  static final DataCentreId AWAY = new DataCentreId("ke-central-b");
  static final int SLOTS = 9;

  private Fleet() {}

  static NodeRecord node(int number, DataCentreId dataCentre, long startedAtNanos) {
    return new NodeRecord(
        new NodeId("node-" + number),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + number),
        REGION,
        dataCentre,
        1,
        NodeState.ALIVE,
        Optional.of(new UpstreamAnnouncement(SERVICE, SLOTS, startedAtNanos)));
  }

  /** Instances whose slow start ended long ago. */
  static List<NodeRecord> warm(int count, DataCentreId dataCentre) {
    List<NodeRecord> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(node(i, dataCentre, -3_600_000_000_000L));
    }
    return List.copyOf(nodes);
  }
}
