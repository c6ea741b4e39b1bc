package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.ProtocolError;
import io.foxtaildoor.protocol.StateDigest;
import io.foxtaildoor.protocol.StateExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Builds the frames of state exchanges (anti-entropy). It reads only the node table, so any thread
 * can answer a frame. The initiator sends the hash of each bucket; the other node replies with its
 * own hashes, or with none if all are equal. The initiator then sends its records of a few
 * differing buckets at a time, and the other node replies with those of its records that are newer
 * or that the initiator lacks.
 */
final class StateExchanges {
  /** Maximum size of the records in one frame, well below the frame limit of 1 MiB. */
  private static final int MAX_RECORD_BYTES = 768 * 1024;

  private static final int RECORD_HEADER_BYTES = 3;

  private final NodeTable table;
  private final NodeRecordCodec codec;

  StateExchanges(NodeTable table, NodeRecordCodec codec) {
    this.table = table;
    this.codec = codec;
  }

  /** Returns a frame with the hash of each bucket. */
  Frame digestFrame() {
    StateDigest.Builder digest = StateDigest.newBuilder();
    for (long hash : table.bucketHashes()) {
      digest.addBucketHashes(hash);
    }
    return Frame.newBuilder().setStateDigest(digest).build();
  }

  /**
   * Returns the buckets whose hashes differ from those received; none if all are equal or the
   * digest does not have one hash for each bucket.
   */
  List<Integer> differingBuckets(StateDigest received) {
    List<Integer> differing = new ArrayList<>();
    if (received.getBucketHashesCount() != NodeTable.BUCKETS) {
      return differing;
    }
    long[] localHashes = table.bucketHashes();
    for (int i = 0; i < NodeTable.BUCKETS; i++) {
      if (localHashes[i] != received.getBucketHashes(i)) {
        differing.add(i);
      }
    }
    return differing;
  }

  /**
   * Returns a frame with all records of the buckets, in order, as far as whole buckets fit into it.
   */
  Frame recordsFrame(List<Integer> buckets, long nowNanos) {
    return buildExchange(buckets, Map.of(), true, nowNanos);
  }

  /**
   * Answers a {@code StateDigest} or {@code StateExchange} frame; returns an error frame for any
   * other or an invalid one.
   */
  Frame answer(Frame request, long nowNanos) {
    return switch (request.getBodyCase()) {
      case STATE_DIGEST -> answerDigest(request.getStateDigest());
      case STATE_EXCHANGE -> answerExchange(request.getStateExchange(), nowNanos);
      default -> errorFrame("expected a StateDigest or StateExchange frame");
    };
  }

  private Frame answerDigest(StateDigest received) {
    if (received.getBucketHashesCount() != NodeTable.BUCKETS) {
      return errorFrame("a StateDigest must have 256 bucket hashes");
    }
    if (differingBuckets(received).isEmpty()) {
      return Frame.newBuilder().setStateDigest(StateDigest.getDefaultInstance()).build();
    }
    return digestFrame();
  }

  private Frame answerExchange(StateExchange received, long nowNanos) {
    Set<Integer> buckets = new HashSet<>(received.getBucketsList());
    for (int bucket : buckets) {
      if (bucket < 0 || bucket >= NodeTable.BUCKETS) {
        return errorFrame("bucket number out of range: " + bucket);
      }
    }
    Map<String, NodeRecordMessage> receivedById = new HashMap<>();
    for (NodeRecordMessage message : received.getRecordsList()) {
      receivedById.put(message.getNodeId(), message);
    }
    return buildExchange(List.copyOf(buckets), receivedById, false, nowNanos);
  }

  private Frame buildExchange(
      List<Integer> buckets,
      Map<String, NodeRecordMessage> receivedById,
      boolean includeAll,
      long nowNanos) {
    StateExchange.Builder exchange = StateExchange.newBuilder();
    int remainingBytes = MAX_RECORD_BYTES;
    for (int bucket : buckets) {
      List<NodeRecordMessage> messages = new ArrayList<>();
      int size = 0;
      for (NodeRecord record : table.bucketRecords(bucket)) {
        if (includeAll || isNeeded(record, receivedById.get(record.id().value()))) {
          NodeRecordMessage message = codec.encode(record, nowNanos);
          messages.add(message);
          size += message.getSerializedSize() + RECORD_HEADER_BYTES;
        }
      }
      if (size > remainingBytes) {
        break;
      }
      remainingBytes -= size;
      exchange.addBuckets(bucket).addAllRecords(messages);
    }
    return Frame.newBuilder().setStateExchange(exchange).build();
  }

  /**
   * Whether the other node needs a record. It needs a departed node's record only if it knows that
   * node.
   */
  private static boolean isNeeded(NodeRecord record, NodeRecordMessage received) {
    if (received == null) {
      return NodeRecords.isLive(record);
    }
    if (record.incarnation() != received.getIncarnation()) {
      return record.incarnation() > received.getIncarnation();
    }
    NodeState state = NodeRecordCodec.fromCode(received.getState());
    return state == null || record.state().compareTo(state) > 0;
  }

  private static Frame errorFrame(String detail) {
    ProtocolError error =
        ProtocolError.newBuilder()
            .setKind(ErrorKind.PROTOCOL_VIOLATION.name())
            .setDetail(detail)
            .build();
    return Frame.newBuilder().setError(error).build();
  }
}
