package io.foxtaildoor.process.membership;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.Announcement;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.NodeStateCode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Converts node records to and from protobuf messages. The ids of regions, data centres and
 * services are interned, because 12,000 records refer to only a few of them. Thread-safe.
 */
final class NodeRecordCodec {
  /**
   * Size limit of each interning table, which protects against a sender that keeps sending new
   * names.
   */
  private static final int MAX_INTERNED = 8_192;

  private static final int MAX_PORT = 65_535;

  /**
   * A larger incarnation cannot result from refutations, and would leave the node no higher values
   * with which to refute.
   */
  private static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

  private static final int MAX_SLOTS = 1_000_000;

  /**
   * Largest age of an upstream instance. The age matters only for slow start, where ages above one
   * year make no difference.
   */
  private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(365);

  private final Map<String, RegionId> regions = new ConcurrentHashMap<>();
  private final Map<String, DataCentreId> dataCentres = new ConcurrentHashMap<>();
  private final Map<String, ServiceId> services = new ConcurrentHashMap<>();

  /** Encodes a record; the age of the upstream instance is computed as of {@code nowNanos}. */
  NodeRecordMessage encode(NodeRecord record, long nowNanos) {
    NodeRecordMessage.Builder message =
        NodeRecordMessage.newBuilder()
            .setNodeId(record.id().value())
            .setAddress(ByteString.copyFrom(record.address().getAddress().getAddress()))
            .setPeerPort(record.address().getPort())
            .setRegion(record.region().value())
            .setDataCentre(record.dataCentre().value())
            .setIncarnation(record.incarnation())
            .setState(toCode(record.state()));
    if (record.upstream().isPresent()) {
      UpstreamAnnouncement upstream = record.upstream().get();
      long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - upstream.startedAtNanos());
      message.setAnnouncement(
          Announcement.newBuilder()
              .setService(upstream.service().value())
              .setSlots(upstream.slots())
              .setAgeMillis(Math.max(0, Math.min(age, MAX_AGE_MILLIS))));
    }
    return message.build();
  }

  /** Decodes a record; returns an empty result if the record is invalid. */
  Optional<NodeRecord> decode(NodeRecordMessage message, long nowNanos) {
    NodeState state = fromCode(message.getState());
    if (state == null
        || message.getPeerPort() <= 0
        || message.getPeerPort() > MAX_PORT
        || message.getIncarnation() < 0
        || message.getIncarnation() > MAX_INCARNATION) {
      return Optional.empty();
    }
    try {
      InetAddress address = InetAddress.getByAddress(message.getAddress().toByteArray());
      return Optional.of(
          new NodeRecord(
              new NodeId(message.getNodeId()),
              new InetSocketAddress(address, message.getPeerPort()),
              intern(regions, message.getRegion(), RegionId::new),
              intern(dataCentres, message.getDataCentre(), DataCentreId::new),
              message.getIncarnation(),
              state,
              decodeAnnouncement(message, nowNanos)));
    } catch (UnknownHostException | FoxtaildoorException e) {
      return Optional.empty();
    }
  }

  /** Returns the state for a protobuf code, or null for a code that this version does not know. */
  static NodeState fromCode(NodeStateCode code) {
    return switch (code) {
      case ALIVE -> NodeState.ALIVE;
      case SUSPECT -> NodeState.SUSPECT;
      case LEAVING -> NodeState.LEAVING;
      case DEAD -> NodeState.DEAD;
      case LEFT -> NodeState.LEFT;
      case UNRECOGNIZED -> null;
    };
  }

  private static NodeStateCode toCode(NodeState state) {
    return switch (state) {
      case ALIVE -> NodeStateCode.ALIVE;
      case SUSPECT -> NodeStateCode.SUSPECT;
      case LEAVING -> NodeStateCode.LEAVING;
      case DEAD -> NodeStateCode.DEAD;
      case LEFT -> NodeStateCode.LEFT;
    };
  }

  private Optional<UpstreamAnnouncement> decodeAnnouncement(
      NodeRecordMessage message, long nowNanos) {
    if (!message.hasAnnouncement()) {
      return Optional.empty();
    }
    Announcement upstream = message.getAnnouncement();
    if (upstream.getSlots() <= 0 || upstream.getSlots() > MAX_SLOTS) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "invalid number of slots");
    }
    long age = Math.max(0, Math.min(upstream.getAgeMillis(), MAX_AGE_MILLIS));
    ServiceId service = intern(services, upstream.getService(), ServiceId::new);
    return Optional.of(
        new UpstreamAnnouncement(
            service, upstream.getSlots(), nowNanos - TimeUnit.MILLISECONDS.toNanos(age)));
  }

  private static <T> T intern(Map<String, T> interned, String value, Function<String, T> create) {
    T existing = interned.get(value);
    if (existing != null) {
      return existing;
    }
    T created = create.apply(value);
    if (interned.size() < MAX_INTERNED) {
      interned.put(value, created);
    }
    return created;
  }
}
