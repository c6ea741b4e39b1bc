package io.foxtaildoor.common;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Order of nodes for a key by rendezvous hashing (highest random weight); the same on every node.
 */
public final class RendezvousOrder {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final char SEPARATOR = '/';

  private final long seed;

  /**
   * Creates the order for a key.
   *
   * @param parts parts of the key; all but the last must not contain a slash
   */
  public RendezvousOrder(String... parts) {
    long hash = FNV_OFFSET;
    for (String part : parts) {
      hash = hash(hash(hash, part), SEPARATOR);
    }
    seed = hash;
  }

  /** Returns the candidate that is first in the order; empty without candidates. */
  public <T> Optional<T> first(Collection<T> candidates, Function<T, NodeId> id) {
    T best = null;
    long bestWeight = 0;
    for (T candidate : candidates) {
      long weight = weight(id.apply(candidate));
      if (best == null || isBefore(weight, id.apply(candidate), bestWeight, id.apply(best))) {
        best = candidate;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the position of a node relative to others; 0 is first. */
  public int position(NodeId node, Collection<NodeId> others) {
    long weight = weight(node);
    int before = 0;
    for (NodeId other : others) {
      if (isBefore(weight(other), other, weight, node)) {
        before++;
      }
    }
    return before;
  }

  private static boolean isBefore(long weight1, NodeId node1, long weight2, NodeId node2) {
    int order = Long.compareUnsigned(weight1, weight2);
    return order > 0 || (order == 0 && node1.compareTo(node2) < 0);
  }

  private long weight(NodeId node) {
    return mix(hash(seed, node.value()));
  }

  private static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = hash(hash, text.charAt(i));
    }
    return hash;
  }

  private static long hash(long seed, char character) {
    return (seed ^ character) * FNV_PRIME;
  }

  /** Finalizer of SplitMix64. Needed because FNV alone produces similar orders for similar ids. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
