package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.NodeId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Rendezvous (highest random weight) order of nodes for a key. */
final class RendezvousOrder {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousOrder() {}

  /** Position of a node among others for a key; 0 is first. */
  static int position(NodeId node, Collection<NodeId> others, String key) {
    long weight = weight(node, key);
    int before = 0;
    for (NodeId other : others) {
      long otherWeight = weight(other, key);
      int order = Long.compareUnsigned(otherWeight, weight);
      if (order > 0 || (order == 0 && other.compareTo(node) < 0)) {
        before++;
      }
    }
    return before;
  }

  private static long weight(NodeId node, String key) {
    long hash = FNV_OFFSET;
    for (byte b : (key + '/' + node).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b) * FNV_PRIME;
    }
    // FNV alone leaves ids that differ only at their end close together.
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
