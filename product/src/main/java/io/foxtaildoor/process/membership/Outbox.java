package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.HeldVersion;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Collects the outputs of {@link SwimCore} and fills datagrams with gossip updates. */
final class Outbox {
  /** Bytes that the tag and the length of one update take in a datagram. */
  private static final int UPDATE_HEADER_BYTES = 3;

  private final MembershipSettings settings;
  private final NodeRecordCodec codec;
  private final GossipQueue queue;
  private final Supplier<NodeRecord> localRecord;
  private final Supplier<VersionStamp> heldVersion;
  private List<SwimOutput> outputs = new ArrayList<>();
  private VersionStamp encodedVersion = VersionStamp.NONE;
  private HeldVersion encodedVersionMessage = VersionStamp.NONE.toMessage();
  private int sendLimit;

  Outbox(
      MembershipSettings settings,
      NodeRecordCodec codec,
      GossipQueue queue,
      Supplier<NodeRecord> localRecord,
      Supplier<VersionStamp> heldVersion) {
    this.settings = settings;
    this.codec = codec;
    this.queue = queue;
    this.localRecord = localRecord;
    this.heldVersion = heldVersion;
    setFleetSize(1);
  }

  /** Sets the number of live nodes, which determines how often an update is sent. */
  void setFleetSize(int nodes) {
    int log2 = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, nodes));
    sendLimit = settings.disseminationFactor() * log2;
  }

  void add(SwimOutput output) {
    outputs.add(output);
  }

  /** Returns the outputs collected since the last call. */
  List<SwimOutput> drain() {
    List<SwimOutput> drained = outputs;
    outputs = new ArrayList<>();
    return drained;
  }

  /** Returns a builder for a datagram from the local node, without body and updates. */
  Datagram.Builder newDatagram() {
    VersionStamp stamp = heldVersion.get();
    if (!stamp.equals(encodedVersion)) {
      encodedVersion = stamp;
      encodedVersionMessage = stamp.toMessage();
    }
    NodeRecord local = localRecord.get();
    Datagram.Builder datagram =
        Datagram.newBuilder()
            .setProtocolVersion(DatagramDecoder.PROTOCOL_VERSION)
            .setCluster(settings.cluster())
            .setSender(local.id().value())
            .setSenderIncarnation(local.incarnation());
    return stamp.version() > 0 ? datagram.setHeld(encodedVersionMessage) : datagram;
  }

  /**
   * Sends a datagram with as many updates as fit.
   *
   * @param priorityRecords records that are added before those of the gossip queue
   */
  void send(
      InetSocketAddress to,
      Datagram.Builder datagram,
      List<NodeRecord> priorityRecords,
      long nowNanos) {
    List<NodeId> includedIds = new ArrayList<>();
    int[] remainingBytes = {settings.maxUpdateBytes()};
    for (NodeRecord record : priorityRecords) {
      if (!includedIds.contains(record.id())
          && addUpdateIfFits(datagram, record, remainingBytes, nowNanos)) {
        includedIds.add(record.id());
      }
    }
    queue.take(
        sendLimit,
        record ->
            includedIds.contains(record.id())
                || addUpdateIfFits(datagram, record, remainingBytes, nowNanos));
    outputs.add(new SwimOutput.SendDatagram(to, datagram.build()));
  }

  private boolean addUpdateIfFits(
      Datagram.Builder datagram, NodeRecord record, int[] remainingBytes, long nowNanos) {
    NodeRecordMessage message = codec.encode(record, nowNanos);
    int size = message.getSerializedSize() + UPDATE_HEADER_BYTES;
    if (size > remainingBytes[0]) {
      return false;
    }
    remainingBytes[0] -= size;
    datagram.addUpdates(message);
    return true;
  }
}
