package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects other nodes at random: in a shuffled round robin for probes, and independently for
 * everything else. Nodes that are no longer live are skipped, and stay in the pool until the next
 * round starts.
 */
final class PeerSampler {
  /**
   * Random draws for each node wanted. With 11 data centres, 32 draws find a node of the local data
   * centre with a probability of 95%.
   */
  private static final int DRAWS_PER_NODE = 32;

  private final Function<NodeId, NodeRecord> liveRecord;
  private final RandomGenerator random;
  private final List<NodeId> pool = new ArrayList<>();
  private int nextIndex;

  /**
   * Creates a sampler.
   *
   * @param liveRecord returns the record of a live node, and null for any other
   */
  PeerSampler(Function<NodeId, NodeRecord> liveRecord, RandomGenerator random) {
    this.liveRecord = liveRecord;
    this.random = random;
  }

  /**
   * Adds a node that became live, at a random position among those not probed yet in this round.
   */
  void add(NodeId id) {
    pool.add(id);
    int last = pool.size() - 1;
    Collections.swap(pool, last, nextIndex + random.nextInt(last - nextIndex + 1));
  }

  /** Returns the next node of the round robin, or null when no other node is live. */
  NodeRecord nextInRound() {
    for (int rounds = 0; rounds < 2; rounds++) {
      while (nextIndex < pool.size()) {
        NodeRecord record = liveRecord.apply(pool.get(nextIndex++));
        if (record != null) {
          return record;
        }
      }
      startRound();
    }
    return null;
  }

  /** Returns up to {@code count} distinct live nodes that satisfy a condition. */
  List<NodeRecord> sample(int count, Predicate<NodeRecord> condition) {
    Map<NodeId, NodeRecord> chosen = new LinkedHashMap<>();
    if (pool.size() <= count * DRAWS_PER_NODE) {
      sampleFromShuffle(count, condition, chosen);
    } else {
      for (int i = 0; i < count * DRAWS_PER_NODE && chosen.size() < count; i++) {
        addIfMatching(pool.get(random.nextInt(pool.size())), condition, chosen);
      }
    }
    return new ArrayList<>(chosen.values());
  }

  /** Returns one live node that satisfies a condition, or null. */
  NodeRecord sampleOne(Predicate<NodeRecord> condition) {
    List<NodeRecord> chosen = sample(1, condition);
    return chosen.isEmpty() ? null : chosen.get(0);
  }

  private void sampleFromShuffle(
      int count, Predicate<NodeRecord> condition, Map<NodeId, NodeRecord> chosen) {
    List<NodeId> shuffled = new ArrayList<>(pool);
    shuffle(shuffled);
    for (NodeId id : shuffled) {
      if (chosen.size() == count) {
        return;
      }
      addIfMatching(id, condition, chosen);
    }
  }

  private void addIfMatching(
      NodeId id, Predicate<NodeRecord> condition, Map<NodeId, NodeRecord> chosen) {
    NodeRecord record = liveRecord.apply(id);
    if (record != null && condition.test(record)) {
      chosen.putIfAbsent(id, record);
    }
  }

  private void startRound() {
    pool.removeIf(id -> liveRecord.apply(id) == null);
    List<NodeId> distinct = new ArrayList<>(new LinkedHashSet<>(pool));
    pool.clear();
    pool.addAll(distinct);
    shuffle(pool);
    nextIndex = 0;
  }

  private void shuffle(List<NodeId> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }
}
