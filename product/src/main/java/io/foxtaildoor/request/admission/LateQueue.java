package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue of the waiting requests that can no longer meet their objective, ordered by rank and then
 * by arrival. Guarded by the lock of the {@link AdmissionQueue} that owns it.
 */
final class LateQueue<T> {
  private final long maxWaitNanos;
  private final TreeSet<Ticket<T>> tickets =
      new TreeSet<>(
          Comparator.<Ticket<T>, Rank>comparing(Ticket::rank)
              .thenComparing(Ticket::compareArrival));
  private final Map<Ticket<T>, Long> addedAtNanos = new HashMap<>();

  LateQueue(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
  }

  void add(Ticket<T> ticket, long nowNanos) {
    tickets.add(ticket);
    addedAtNanos.put(ticket, nowNanos);
  }

  /** Removes a ticket; returns false when it is not in this queue. */
  boolean remove(Ticket<T> ticket) {
    addedAtNanos.remove(ticket);
    return tickets.remove(ticket);
  }

  /** Returns the next ticket, or null when the queue is empty. */
  Ticket<T> peek() {
    return tickets.isEmpty() ? null : tickets.first();
  }

  /** Removes and returns the next ticket, or null when the queue is empty. */
  Ticket<T> poll() {
    Ticket<T> next = tickets.pollFirst();
    addedAtNanos.remove(next);
    return next;
  }

  int size() {
    return tickets.size();
  }

  int size(Rank rank) {
    return (int) tickets.stream().filter(ticket -> ticket.rank() == rank).count();
  }

  /** Number of queued tickets that would be served before the given one. */
  int countBefore(Ticket<T> ticket) {
    return tickets.headSet(ticket).size();
  }

  /**
   * Removes and returns the tickets that waited too long or cannot finish before their deadlines.
   */
  List<Ticket<T>> removeExpired(long nowNanos, ServiceTimes times) {
    List<Ticket<T>> expired = new ArrayList<>();
    for (Ticket<T> ticket : tickets) {
      boolean waitedTooLong = nowNanos - addedAtNanos.get(ticket) > maxWaitNanos;
      if (waitedTooLong || ticket.deadlineNanos() - nowNanos <= times.mean(ticket.rank())) {
        expired.add(ticket);
      }
    }
    expired.forEach(this::remove);
    return expired;
  }
}
