package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of record updates to be passed on by gossip, ordered by the number of times that each was
 * sent. The update sent least often goes first.
 */
final class GossipQueue {
  /** Receives updates in order of priority and decides whether each still fits. */
  @FunctionalInterface
  interface Packer {
    /** Adds a record if it still fits; returning false ends the selection. */
    boolean offer(NodeRecord record);
  }

  /**
   * A queued update; cancelled when a newer record of the same node replaces it or the node is
   * removed.
   */
  private static final class Entry {
    private final NodeRecord record;
    private final long addedAt;
    private boolean cancelled;

    Entry(NodeRecord record, long addedAt) {
      this.record = record;
      this.addedAt = addedAt;
    }
  }

  /**
   * Cancelled updates are purged from the unsent ones when these outnumber twice the valid updates
   * by more than this. They accumulate in a node that has no peers to send to.
   */
  private static final int MAX_CANCELLED = 64;

  /**
   * An update expires after this many times the send limit in datagrams, whether it was sent or
   * not. A mass restart queues more updates than fit into the datagrams of several hours; state
   * exchanges deliver them sooner.
   */
  private static final int LIFETIME_FACTOR = 4;

  private final Map<NodeId, Entry> entriesByNode = new HashMap<>();
  private final List<Deque<Entry>> queuesBySendCount = new ArrayList<>();
  private long datagramCount;

  /** Queues a record, replacing any queued record of the same node. */
  void add(NodeRecord record) {
    Entry entry = new Entry(record, datagramCount);
    Entry replaced = entriesByNode.put(record.id(), entry);
    if (replaced != null) {
      replaced.cancelled = true;
    }
    Deque<Entry> unsent = queueFor(0);
    unsent.addLast(entry);
    if (unsent.size() > 2 * entriesByNode.size() + MAX_CANCELLED) {
      unsent.removeIf(queued -> queued.cancelled);
    }
  }

  /** Removes the queued update of a node, if there is one. */
  void remove(NodeId id) {
    Entry entry = entriesByNode.remove(id);
    if (entry != null) {
      entry.cancelled = true;
    }
  }

  /** Returns the number of updates that are still to be sent. */
  int size() {
    return entriesByNode.size();
  }

  /**
   * Offers updates to the packer, those sent least often first, until one does not fit. Each
   * accepted update counts as sent once more.
   *
   * @param sendLimit total number of times that each update is sent
   */
  void take(int sendLimit, Packer packer) {
    datagramCount++;
    if (entriesByNode.isEmpty()) {
      queuesBySendCount.clear();
      return;
    }
    removeExpired(datagramCount - (long) LIFETIME_FACTOR * sendLimit);
    List<Entry> accepted = new ArrayList<>();
    int[] acceptedPerSendCount = new int[queuesBySendCount.size()];
    boolean fits = true;
    for (int count = 0; fits && count < queuesBySendCount.size(); count++) {
      Deque<Entry> queue = queuesBySendCount.get(count);
      while (fits && !queue.isEmpty()) {
        Entry entry = queue.peekFirst();
        fits = entry.cancelled || packer.offer(entry.record);
        if (fits) {
          queue.removeFirst();
          if (!entry.cancelled) {
            accepted.add(entry);
            acceptedPerSendCount[count]++;
          }
        }
      }
    }
    requeue(accepted, acceptedPerSendCount, sendLimit);
  }

  /**
   * Removes the updates queued before the given datagram number; each deque is in the order of
   * queueing.
   */
  private void removeExpired(long minAddedAt) {
    for (Deque<Entry> queue : queuesBySendCount) {
      Entry oldest;
      while ((oldest = queue.peekFirst()) != null
          && (oldest.cancelled || oldest.addedAt < minAddedAt)) {
        queue.removeFirst();
        if (!oldest.cancelled) {
          entriesByNode.remove(oldest.record.id());
        }
      }
    }
  }

  private void requeue(List<Entry> accepted, int[] acceptedPerSendCount, int sendLimit) {
    int index = 0;
    for (int count = 0; count < acceptedPerSendCount.length; count++) {
      for (int i = 0; i < acceptedPerSendCount[count]; i++) {
        Entry entry = accepted.get(index++);
        if (count + 1 < sendLimit) {
          queueFor(count + 1).addLast(entry);
        } else {
          entriesByNode.remove(entry.record.id());
        }
      }
    }
  }

  private Deque<Entry> queueFor(int count) {
    while (queuesBySendCount.size() <= count) {
      queuesBySendCount.add(new ArrayDeque<>());
    }
    return queuesBySendCount.get(count);
  }
}
