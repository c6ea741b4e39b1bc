package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are still to be passed on, ordered by the number of times they were sent. The update
 * with the largest need, the one sent least often, goes first.
 */
final class GossipQueue {
  /** Chooses how many of the offered updates are taken and measures them. */
  @FunctionalInterface
  interface Packer {
    /** Adds a record when it still fits; false ends the selection. */
    boolean offer(NodeRecord record);
  }

  /** One update; cancelled when a newer record of the same node replaced it. */
  private static final class Entry {
    private final NodeRecord record;
    private final long addedAt;
    private boolean cancelled;

    Entry(NodeRecord record, long addedAt) {
      this.record = record;
      this.addedAt = addedAt;
    }
  }

  /** Replaced updates that may wait unsent, as in a node that has nobody to send to. */
  private static final int MAX_CANCELLED = 64;

  /**
   * An update is dropped after this many times the send limit in datagrams, sent or not. A mass
   * restart queues more updates than fit into hours of datagrams; state exchanges carry them
   * sooner.
   */
  private static final int LIFETIME_FACTOR = 4;

  private final Map<NodeId, Entry> current = new HashMap<>();
  private final List<Deque<Entry>> bySendCount = new ArrayList<>();
  private long datagrams;

  /** Adds a record, which replaces the one queued for the same node. */
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

  /** Drops the update of a node. */
  void remove(NodeId id) {
    Entry entry = current.remove(id);
    if (entry != null) {
      entry.cancelled = true;
    }
  }

  /** Number of updates that are still to be sent. */
  int size() {
    return current.size();
  }

  /**
   * Offers updates, largest need first, until one does not fit. Those taken count as sent once.
   *
   * @param sendLimit number of times that an update is sent in all
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

  /** Drops the updates that were added before a datagram; each level is in the order of adding. */
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
