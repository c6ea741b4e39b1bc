package io.foxtaildoor.process.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Bounded, thread-safe queue of audit entries that are not yet written to the platform. The rate of
 * refusals is limited by a token bucket that uses the timestamps of the entries as its clock.
 */
final class AuditQueue {
  private final AuditSettings settings;
  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private double refusalTokens;
  private long lastRefusalMillis;
  private long suppressedRefusals;
  private long droppedCount;

  AuditQueue(AuditSettings settings) {
    this.settings = settings;
    this.refusalTokens = settings.refusalBurst();
  }

  /**
   * Adds an entry. Returns false if the queue is full, or if the entry is a refusal above the rate
   * limit or above the capacity for refusals.
   */
  synchronized boolean offer(AuditEntry entry) {
    if (entry.kind() == AuditKind.REFUSAL) {
      return offerRefusal(entry);
    }
    if (entries.size() >= settings.queueCapacity()) {
      droppedCount++;
      return false;
    }
    entries.add(entry);
    return true;
  }

  private boolean offerRefusal(AuditEntry entry) {
    long elapsed = Math.max(0, entry.atEpochMillis() - lastRefusalMillis);
    double refill = elapsed * settings.refusalsPerSecond() / 1_000;
    lastRefusalMillis = entry.atEpochMillis();
    refusalTokens = Math.min(settings.refusalBurst(), refusalTokens + refill);
    if (refusalTokens < 1 || entries.size() >= settings.refusalCapacity()) {
      suppressedRefusals++;
      return false;
    }
    refusalTokens--;
    String note = suppressedRefusals == 0 ? "" : " (" + suppressedRefusals + " not recorded)";
    suppressedRefusals = 0;
    entries.add(entry.withDetail(entry.detail() + note));
    return true;
  }

  /** Returns the oldest entries without removing them. */
  synchronized List<AuditEntry> peek(int max) {
    List<AuditEntry> batch = new ArrayList<>();
    for (AuditEntry entry : entries) {
      if (batch.size() == max) {
        break;
      }
      batch.add(entry);
    }
    return batch;
  }

  /** Removes the oldest entries, once they are written to the platform. */
  synchronized void remove(int count) {
    for (int i = 0; i < count; i++) {
      entries.remove();
    }
  }

  synchronized int size() {
    return entries.size();
  }

  /**
   * Returns the number of entries other than refusals that were dropped because the queue was full.
   */
  synchronized long droppedCount() {
    return droppedCount;
  }
}
