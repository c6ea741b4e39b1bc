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

  private final Map<NodeId, Entry> current = new HashMap<>();
  private final List<Deque<Entry>> bySendCount = new ArrayList<>();
  private long datagrams;

  /** Queues a record, replacing any queued record of the same node. */
  void add(NodeRecord record) {
    Entry entry = new Entry(record, datagrams);
    Entry former = current.put(record.id(), entry);
    if (former != null) {
      former.cancelled = true;
    }
    Deque<Entry> unsent = level(0);
    unsent.addLast(entry);
    if (unsent.size() > 2 * current.size() + MAX_CANCELLED) {
      unsent.removeIf(queued -> queued.cancelled);
    }
  }

  /** Removes the queued update of a node, if there is one. */
  void remove(NodeId id) {
    Entry entry = current.remove(id);
    if (entry != null) {
      entry.cancelled = true;
    }
  }

  /** Returns the number of updates that are still to be sent. */
  int size() {
    return current.size();
  }

  /**
   * Offers updates to the packer, those sent least often first, until one does not fit. Each
   * accepted update counts as sent once more.
   *
   * @param sendLimit total number of times that each update is sent
   */
  void take(int sendLimit, Packer packer) {
    datagrams++;
    if (current.isEmpty()) {
      bySendCount.clear();
      return;
    }
    dropExpired(datagrams - (long) LIFETIME_FACTOR * sendLimit);
    List<Entry> taken = new ArrayList<>();
    int[] counts = new int[bySendCount.size()];
    boolean fits = true;
    for (int count = 0; fits && count < bySendCount.size(); count++) {
      Deque<Entry> level = bySendCount.get(count);
      while (fits && !level.isEmpty()) {
        Entry entry = level.peekFirst();
        fits = entry.cancelled || packer.offer(entry.record);
        if (fits) {
          level.removeFirst();
          if (!entry.cancelled) {
            taken.add(entry);
            counts[count]++;
          }
        }
      }
    }
    requeue(taken, counts, sendLimit);
  }

  /**
   * Removes the updates queued before the given datagram number; each deque is in the order of
   * queueing.
   */
  private void dropExpired(long oldest) {
    for (Deque<Entry> level : bySendCount) {
      Entry first;
      while ((first = level.peekFirst()) != null && (first.cancelled || first.addedAt < oldest)) {
        level.removeFirst();
        if (!first.cancelled) {
          current.remove(first.record.id());
        }
      }
    }
  }

  private void requeue(List<Entry> taken, int[] counts, int sendLimit) {
    int next = 0;
    for (int count = 0; count < counts.length; count++) {
      for (int i = 0; i < counts[count]; i++) {
        Entry entry = taken.get(next++);
        if (count + 1 < sendLimit) {
          level(count + 1).addLast(entry);
        } else {
          current.remove(entry.record.id());
        }
      }
    }
  }

  private Deque<Entry> level(int count) {
    while (bySendCount.size() <= count) {
      bySendCount.add(new ArrayDeque<>());
    }
    return bySendCount.get(count);
  }
}
