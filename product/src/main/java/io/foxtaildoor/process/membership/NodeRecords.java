package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;

/** Order, copies and hashes of node records. */
final class NodeRecords {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private NodeRecords() {}

  /** Whether a record is newer than another of the same node. */
  static boolean isNewer(NodeRecord record, NodeRecord other) {
    if (record.incarnation() != other.incarnation()) {
      return record.incarnation() > other.incarnation();
    }
    return record.state().compareTo(other.state()) > 0;
  }

  /** Whether the node is taken to be running. */
  static boolean isLive(NodeRecord record) {
    return record.state().compareTo(NodeState.LEAVING) <= 0;
  }

  static NodeRecord withState(NodeRecord record, NodeState state) {
    return withState(record, record.incarnation(), state);
  }

  static NodeRecord withState(NodeRecord record, long incarnation, NodeState state) {
    return new NodeRecord(
        record.id(),
        record.address(),
        record.region(),
        record.dataCentre(),
        incarnation,
        state,
        record.upstream());
  }

  /**
   * Hash of a record for state digests. A record changes its contents only together with its
   * incarnation. Suspicion is left out because it is settled by gossip within seconds, and dead
   * nodes because each node forgets them at a time of its own.
   */
  static long digestHash(NodeRecord record) {
    if (!isLive(record)) {
      return 0;
    }
    long hash = hashId(record.id());
    hash = mix(hash ^ mix(record.incarnation()));
    return record.state() == NodeState.LEAVING ? mix(~hash) : hash;
  }

  /** Hash of a node id that is equal on all nodes. */
  static long hashId(NodeId id) {
    String value = id.value();
    long hash = FNV_OFFSET;
    for (int i = 0; i < value.length(); i++) {
      hash = (hash ^ value.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Spreads the bits of a value, as the finalizer of MurmurHash3 does. */
  private static long mix(long value) {
    long hash = value;
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
