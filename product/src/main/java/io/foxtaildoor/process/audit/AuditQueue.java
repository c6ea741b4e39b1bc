package io.foxtaildoor.process.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Bounded queue of entries that wait for the platform; safe for use by several threads. Refusals
 * pass a token bucket whose clock is the time of the entries.
 */
final class AuditQueue {
  private final AuditSettings settings;
  private final Deque<AuditEntry> waiting = new ArrayDeque<>();
  private double refusalTokens;
  private long lastRefusalMillis;
  private long suppressedRefusals;
  private long dropped;

  AuditQueue(AuditSettings settings) {
    this.settings = settings;
    this.refusalTokens = settings.refusalBurst();
  }

  /** Adds an entry, unless the queue is full or there are too many refusals. */
  synchronized boolean offer(AuditEntry entry) {
    if (entry.kind() == AuditKind.REFUSAL) {
      return offerRefusal(entry);
    }
    if (waiting.size() >= settings.queueCapacity()) {
      dropped++;
      return false;
    }
    waiting.add(entry);
    return true;
  }

  private boolean offerRefusal(AuditEntry entry) {
    long elapsed = Math.max(0, entry.atEpochMillis() - lastRefusalMillis);
    double refill = elapsed * settings.refusalsPerSecond() / 1_000;
    lastRefusalMillis = entry.atEpochMillis();
    refusalTokens = Math.min(settings.refusalBurst(), refusalTokens + refill);
    if (refusalTokens < 1 || waiting.size() >= settings.refusalCapacity()) {
      suppressedRefusals++;
      return false;
    }
    refusalTokens--;
    String note = suppressedRefusals == 0 ? "" : " (" + suppressedRefusals + " not recorded)";
    suppressedRefusals = 0;
    waiting.add(entry.withDetail(entry.detail() + note));
    return true;
  }

  /** The oldest entries, which stay in the queue. */
  synchronized List<AuditEntry> peek(int max) {
    List<AuditEntry> batch = new ArrayList<>();
    for (AuditEntry entry : waiting) {
      if (batch.size() == max) {
        break;
      }
      batch.add(entry);
    }
    return batch;
  }

  /** Removes the oldest entries after they were written. */
  synchronized void remove(int count) {
    for (int i = 0; i < count; i++) {
      waiting.remove();
    }
  }

  synchronized int size() {
    return waiting.size();
  }

  /** Entries other than refusals that found the queue full. */
  synchronized long dropped() {
    return dropped;
  }
}
