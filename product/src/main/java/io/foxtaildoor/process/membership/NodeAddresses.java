package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.net.InetSocketAddress;
import java.util.Map;
import org.agrona.collections.Object2ObjectHashMap;

/**
 * Tells which live node uses an address, and finds out which of two nodes at the same address was
 * replaced.
 */
final class NodeAddresses {
  private final NodeTable table;
  private final VerificationQueue verificationQueue;
  private final Replacement replacement;
  private final Map<InetSocketAddress, NodeId> liveNodeByAddress = new Object2ObjectHashMap<>();

  /** Action on a node whose address another node now uses. */
  @FunctionalInterface
  interface Replacement {
    void markReplaced(NodeId id, long nowNanos);
  }

  /**
   * Creates an empty index.
   *
   * @param verificationQueue receives nodes at the same address of which none is known to be newer
   */
  NodeAddresses(NodeTable table, VerificationQueue verificationQueue, Replacement replacement) {
    this.table = table;
    this.verificationQueue = verificationQueue;
    this.replacement = replacement;
  }

  /** Returns the id of the live node at an address, or null. */
  NodeId liveAt(InetSocketAddress address) {
    return liveNodeByAddress.get(address);
  }

  /** Adds a live node; another live node at its address is a conflict, which is resolved. */
  void add(KnownNode node, long nowNanos) {
    NodeRecord record = node.record();
    NodeId idAtAddress = liveNodeByAddress.get(record.address());
    if (idAtAddress == null) {
      liveNodeByAddress.put(record.address(), record.id());
    } else if (!idAtAddress.equals(record.id())) {
      resolveConflict(node, table.find(idAtAddress), nowNanos);
    }
  }

  /** Removes a node that is no longer live, unless another node is at its address. */
  void remove(NodeRecord previous) {
    liveNodeByAddress.remove(previous.address(), previous.id());
  }

  /**
   * Marks the node known at the source address of a datagram as replaced if the sender has another
   * id and a higher incarnation.
   */
  void checkSender(InetSocketAddress from, NodeId sender, long incarnation, long nowNanos) {
    NodeId knownId = liveNodeByAddress.get(from);
    if (knownId == null || knownId.equals(sender)) {
      return;
    }
    // A delayed datagram of the previous process has the lower incarnation and does not show that
    // the known node was replaced.
    NodeRecord record = table.record(knownId);
    if (record != null && record.incarnation() < incarnation) {
      replacement.markReplaced(knownId, nowNanos);
    }
  }

  /**
   * Resolves a conflict between two nodes at the same address: the one with the lower incarnation
   * was replaced. At equal incarnations both are verified by probes.
   */
  private void resolveConflict(KnownNode added, KnownNode current, long nowNanos) {
    long difference = added.record().incarnation() - current.record().incarnation();
    if (difference > 0) {
      liveNodeByAddress.put(added.record().address(), added.record().id());
      replacement.markReplaced(current.record().id(), nowNanos);
    } else if (difference < 0) {
      replacement.markReplaced(added.record().id(), nowNanos);
    } else {
      verificationQueue.add(added.record());
      verificationQueue.add(current.record());
    }
  }
}
