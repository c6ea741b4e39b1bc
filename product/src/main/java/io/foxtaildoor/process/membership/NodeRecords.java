package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;

/** Utilities that compare, copy and hash node records. */
final class NodeRecords {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private NodeRecords() {}

  /** Whether a record is newer than another record of the same node. */
  static boolean isNewer(NodeRecord record, NodeRecord other) {
    if (record.incarnation() != other.incarnation()) {
      return record.incarnation() > other.incarnation();
    }
    return record.state().compareTo(other.state()) > 0;
  }

  /** Whether the node is considered to be running. */
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
   * Returns the hash of a record for state digests. It covers the id, the incarnation and LEAVING,
   * because any other content of a record changes only together with its incarnation. Suspicion is
   * excluded because gossip settles it within seconds. Departed nodes hash to 0 because each node
   * forgets them at a different time.
   */
  static long digestHash(NodeRecord record) {
    if (!isLive(record)) {
      return 0;
    }
    long hash = hashId(record.id());
    hash = mix(hash ^ mix(record.incarnation()));
    return record.state() == NodeState.LEAVING ? mix(~hash) : hash;
  }

  /** Returns a hash of a node id that is the same on all nodes. */
  static long hashId(NodeId id) {
    String value = id.value();
    long hash = FNV_OFFSET;
    for (int i = 0; i < value.length(); i++) {
      hash = (hash ^ value.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Mixes the bits of a value with the finalizer of MurmurHash3. */
  private static long mix(long value) {
    long hash = value;
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
