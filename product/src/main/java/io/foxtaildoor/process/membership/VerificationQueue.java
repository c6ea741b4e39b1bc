package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Queue of nodes that are to be verified by a probe, each with the record to be sent to it. */
final class VerificationQueue {
  /**
   * Bounds the probes that one state exchange or mass failure can cause; other nodes verify the
   * rest.
   */
  private static final int MAX_SIZE = 256;

  private final Map<NodeId, NodeRecord> recordsByNode = new LinkedHashMap<>();

  /** Adds a node with the record that the probe will carry; ignores it if the queue is full. */
  void add(NodeRecord record) {
    if (recordsByNode.size() < MAX_SIZE) {
      recordsByNode.put(record.id(), record);
    }
  }

  /** Removes and returns the first record whose node still satisfies the condition, or null. */
  NodeRecord poll(Predicate<NodeId> condition) {
    while (!recordsByNode.isEmpty()) {
      NodeId id = recordsByNode.keySet().iterator().next();
      NodeRecord record = recordsByNode.remove(id);
      if (condition.test(id)) {
        return record;
      }
    }
    return null;
  }
}
