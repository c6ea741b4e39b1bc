package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/** Remembers nodes that are DEAD or LEFT, and selects dead nodes to be probed again. */
final class DepartedNodes {
  private record Departure(NodeId id, long departedAt) {}

  private final long deadRetentionNanos;
  private final long leftRetentionNanos;
  private final NodeTable table;
  private final RandomGenerator random;
  private final Deque<Departure> dead = new ArrayDeque<>();
  private final Deque<Departure> left = new ArrayDeque<>();
  private final List<NodeId> probeCandidates = new ArrayList<>();

  DepartedNodes(MembershipSettings settings, NodeTable table, RandomGenerator random) {
    this.deadRetentionNanos = settings.deadRetention().toNanos();
    this.leftRetentionNanos = settings.leftRetention().toNanos();
    this.table = table;
    this.random = random;
  }

  /** Remembers a node whose record is now DEAD or LEFT. */
  void add(KnownNode node, long nowNanos) {
    node.setDepartedAt(nowNanos);
    Departure departure = new Departure(node.record().id(), nowNanos);
    if (node.record().state() == NodeState.DEAD) {
      dead.addLast(departure);
      probeCandidates.add(departure.id());
    } else {
      left.addLast(departure);
    }
  }

  /** Returns a random dead node, or null. */
  NodeRecord randomDead() {
    while (!probeCandidates.isEmpty()) {
      int index = random.nextInt(probeCandidates.size());
      NodeRecord record = table.record(probeCandidates.get(index));
      if (record != null && record.state() == NodeState.DEAD) {
        return record;
      }
      removeCandidate(index);
    }
    return null;
  }

  /** Excludes a dead node from further probes because another process now uses its address. */
  void stopProbing(NodeId id) {
    int index = probeCandidates.lastIndexOf(id);
    if (index >= 0) {
      removeCandidate(index);
    }
  }

  /** Removes the nodes whose retention time has passed from the node table and the gossip queue. */
  void removeExpired(long nowNanos, GossipQueue gossipQueue) {
    removeExpired(dead, nowNanos - deadRetentionNanos, NodeState.DEAD, gossipQueue);
    removeExpired(left, nowNanos - leftRetentionNanos, NodeState.LEFT, gossipQueue);
  }

  private void removeExpired(
      Deque<Departure> departures, long expiredBefore, NodeState state, GossipQueue gossipQueue) {
    Departure oldest;
    while ((oldest = departures.peekFirst()) != null && oldest.departedAt() - expiredBefore <= 0) {
      departures.removeFirst();
      KnownNode node = table.find(oldest.id());
      if (node != null
          && node.record().state() == state
          && node.departedAt() == oldest.departedAt()) {
        table.remove(oldest.id());
        gossipQueue.remove(oldest.id());
      }
    }
  }

  private void removeCandidate(int index) {
    int last = probeCandidates.size() - 1;
    probeCandidates.set(index, probeCandidates.get(last));
    probeCandidates.remove(last);
  }
}
