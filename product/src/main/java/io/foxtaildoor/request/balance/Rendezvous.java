package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.NodeRecord;
import java.util.List;
import java.util.Optional;

/** Rendezvous order of the instances of a service for a key; equal on every node. */
public final class Rendezvous {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /** The instance that is first in the order; empty without candidates. */
  public static Optional<NodeRecord> first(
      ServiceId service, String key, List<NodeRecord> candidates) {
    long seed = hash(hash(FNV_OFFSET, service.value()) * FNV_PRIME, key);
    NodeRecord best = null;
    long bestWeight = 0;
    for (NodeRecord candidate : candidates) {
      long weight = mix(hash(seed, candidate.id().value()));
      if (best == null || isBefore(weight, candidate, bestWeight, best)) {
        best = candidate;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  private static boolean isBefore(
      long weight, NodeRecord node, long otherWeight, NodeRecord other) {
    int order = Long.compareUnsigned(weight, otherWeight);
    return order > 0 || (order == 0 && node.id().compareTo(other.id()) < 0);
  }

  private static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Finalizer of SplitMix64; FNV alone orders similar ids alike. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
