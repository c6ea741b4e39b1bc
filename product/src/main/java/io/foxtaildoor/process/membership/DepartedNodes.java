package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/** Remembers nodes that are DEAD or LEFT, and selects dead nodes to be probed again. */
final class DepartedNodes {
  private record Ending(NodeId id, long endedAt) {}

  private final long deadMemoryNanos;
  private final long leftMemoryNanos;
  private final NodeTable table;
  private final RandomGenerator random;
  private final Deque<Ending> dead = new ArrayDeque<>();
  private final Deque<Ending> left = new ArrayDeque<>();
  private final List<NodeId> probed = new ArrayList<>();

  DepartedNodes(MembershipSettings settings, NodeTable table, RandomGenerator random) {
    this.deadMemoryNanos = settings.deadRetention().toNanos();
    this.leftMemoryNanos = settings.leftRetention().toNanos();
    this.table = table;
    this.random = random;
  }

  /** Remembers a node whose record is now DEAD or LEFT. */
  void add(KnownNode member, long nowNanos) {
    member.setDepartedAt(nowNanos);
    Ending ending = new Ending(member.record().id(), nowNanos);
    if (member.record().state() == NodeState.DEAD) {
      dead.addLast(ending);
      probed.add(ending.id());
    } else {
      left.addLast(ending);
    }
  }

  /** Returns a random dead node, or null. */
  NodeRecord randomDead() {
    while (!probed.isEmpty()) {
      int place = random.nextInt(probed.size());
      NodeRecord record = table.record(probed.get(place));
      if (record != null && record.state() == NodeState.DEAD) {
        return record;
      }
      removeAt(place);
    }
    return null;
  }

  /** Excludes a dead node from further probes because another process now uses its address. */
  void stopProbing(NodeId id) {
    int place = probed.lastIndexOf(id);
    if (place >= 0) {
      removeAt(place);
    }
  }

  /** Removes the nodes whose retention time has passed from the node table and the gossip queue. */
  void removeExpired(long nowNanos, GossipQueue queue) {
    removeExpired(dead, nowNanos - deadMemoryNanos, NodeState.DEAD, queue);
    removeExpired(left, nowNanos - leftMemoryNanos, NodeState.LEFT, queue);
  }

  private void removeExpired(
      Deque<Ending> endings, long oldest, NodeState state, GossipQueue queue) {
    Ending first;
    while ((first = endings.peekFirst()) != null && first.endedAt() - oldest <= 0) {
      endings.removeFirst();
      KnownNode member = table.find(first.id());
      if (member != null
          && member.record().state() == state
          && member.departedAt() == first.endedAt()) {
        table.remove(first.id());
        queue.remove(first.id());
      }
    }
  }

  private void removeAt(int place) {
    int last = probed.size() - 1;
    probed.set(place, probed.get(last));
    probed.remove(last);
  }
}
