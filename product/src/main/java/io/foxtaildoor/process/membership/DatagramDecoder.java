package io.foxtaildoor.process.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Datagram;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Decodes datagrams; counts and drops those that are malformed, belong to another cluster or use
 * another protocol version.
 */
final class DatagramDecoder {
  /** Version of the UDP protocol that this process supports. */
  static final int PROTOCOL_VERSION = 1;

  private final String cluster;
  private final NodeId self;
  private final MembershipCounters counters;

  DatagramDecoder(String cluster, NodeId self, MembershipCounters counters) {
    this.cluster = cluster;
    this.self = self;
    this.counters = counters;
  }

  /** Decodes a datagram; returns an empty result if the datagram was counted and dropped. */
  Optional<Datagram> decode(ByteBuffer bytes) {
    counters.increment(Counter.RECEIVED_DATAGRAMS);
    counters.add(Counter.RECEIVED_BYTES, bytes.remaining());
    Datagram datagram;
    try {
      datagram = Datagram.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return countAndDrop(Counter.DROPPED_MALFORMED);
    }
    if (datagram.getBodyCase() == Datagram.BodyCase.BODY_NOT_SET || !hasValidSender(datagram)) {
      return countAndDrop(Counter.DROPPED_MALFORMED);
    }
    if (!cluster.equals(datagram.getCluster())) {
      return countAndDrop(Counter.DROPPED_FOREIGN);
    }
    if (datagram.getProtocolVersion() != PROTOCOL_VERSION) {
      return countAndDrop(Counter.DROPPED_PROTOCOL);
    }
    return Optional.of(datagram);
  }

  /**
   * Whether the sender has a valid id and incarnation. The local node never sends to itself, so a
   * datagram with its own id is an echo or comes from another node with a duplicate id.
   */
  private boolean hasValidSender(Datagram datagram) {
    if (datagram.getSenderIncarnation() < 0) {
      return false;
    }
    try {
      return !new NodeId(datagram.getSender()).equals(self);
    } catch (FoxtaildoorException e) {
      return false;
    }
  }

  private Optional<Datagram> countAndDrop(Counter reason) {
    counters.increment(reason);
    return Optional.empty();
  }
}
