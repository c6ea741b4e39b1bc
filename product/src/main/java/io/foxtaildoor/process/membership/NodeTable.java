package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Object2ObjectHashMap;

/**
 * Table of the known nodes, split by the hash of the node id into 256 shards with one lock each.
 * One thread writes; any thread may read. Each shard is also a bucket of the state digest and
 * updates the hash of its live records with every change.
 */
final class NodeTable {
  /** Number of shards and of buckets in a state digest. */
  static final int BUCKETS = 256;

  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.7f;

  /** A shard of the table; its monitor guards its contents. */
  private static final class Shard {
    private final Object2ObjectHashMap<NodeId, KnownNode> nodes =
        new Object2ObjectHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, false);
    private long hash;
  }

  private final Shard[] shards = new Shard[BUCKETS];

  NodeTable() {
    for (int i = 0; i < BUCKETS; i++) {
      shards[i] = new Shard();
    }
  }

  /** Returns the bucket of a node id, which is the same on all nodes. */
  static int bucketOf(NodeId id) {
    return (int) (NodeRecords.hashId(id) >>> 56);
  }

  /** Returns a known node or null; may be called only by the writing thread. */
  KnownNode find(NodeId id) {
    Shard shard = shards[bucketOf(id)];
    synchronized (shard) {
      return shard.nodes.get(id);
    }
  }

  /** Returns the record of a node, or null if the node is unknown. */
  NodeRecord record(NodeId id) {
    Shard shard = shards[bucketOf(id)];
    synchronized (shard) {
      KnownNode node = shard.nodes.get(id);
      return node == null ? null : node.record();
    }
  }

  /** Adds a node that is not known yet. */
  KnownNode add(NodeRecord record) {
    KnownNode node = new KnownNode(record);
    Shard shard = shards[bucketOf(record.id())];
    synchronized (shard) {
      shard.nodes.put(record.id(), node);
      shard.hash += NodeRecords.digestHash(record);
    }
    return node;
  }

  /** Replaces the record of a known node. */
  void replace(KnownNode node, NodeRecord record) {
    Shard shard = shards[bucketOf(record.id())];
    synchronized (shard) {
      shard.hash += NodeRecords.digestHash(record) - NodeRecords.digestHash(node.record());
      node.setRecord(record);
    }
  }

  /** Removes a node. */
  void remove(NodeId id) {
    Shard shard = shards[bucketOf(id)];
    synchronized (shard) {
      KnownNode node = shard.nodes.remove(id);
      if (node != null) {
        shard.hash -= NodeRecords.digestHash(node.record());
      }
    }
  }

  /** Returns the hash of each bucket. */
  long[] bucketHashes() {
    long[] hashes = new long[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      synchronized (shards[i]) {
        hashes[i] = shards[i].hash;
      }
    }
    return hashes;
  }

  /** Returns the records of one bucket. */
  List<NodeRecord> bucketRecords(int index) {
    Shard shard = shards[index];
    synchronized (shard) {
      List<NodeRecord> records = new ArrayList<>(shard.nodes.size());
      for (KnownNode node : shard.nodes.values()) {
        records.add(node.record());
      }
      return records;
    }
  }

  /** Returns all records. */
  List<NodeRecord> records() {
    List<NodeRecord> all = new ArrayList<>();
    for (int i = 0; i < BUCKETS; i++) {
      all.addAll(bucketRecords(i));
    }
    return all;
  }
}
