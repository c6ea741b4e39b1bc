package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Nodes that are to be probed soon, each with what was said of it. */
final class VerificationQueue {
  /** Bounds the probes that one exchange or mass failure can cause; other nodes do the rest. */
  private static final int MAX_SIZE = 256;

  private final Map<NodeId, NodeRecord> waiting = new LinkedHashMap<>();

  /** Adds a node with what it is to be told; drops it when too many wait. */
  void add(NodeRecord told) {
    if (waiting.size() < MAX_SIZE) {
      waiting.put(told.id(), told);
    }
  }

  /** Removes and returns the first entry whose node is still worth a probe, or null. */
  NodeRecord poll(Predicate<NodeId> worthwhile) {
    while (!waiting.isEmpty()) {
      NodeId id = waiting.keySet().iterator().next();
      NodeRecord told = waiting.remove(id);
      if (worthwhile.test(id)) {
        return told;
      }
    }
    return null;
  }
}
