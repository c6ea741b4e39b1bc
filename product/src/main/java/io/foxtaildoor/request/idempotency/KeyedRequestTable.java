package io.foxtaildoor.request.idempotency;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Table, on the caller's node, of the nodes to which keyed requests were sent. It holds requests
 * that are in flight or have an unknown outcome. Thread-safe.
 *
 * <p>An entry is never dropped early to make room: a full table refuses new keys, because without
 * its destination a repeat could run a second time on another node.
 */
public final class KeyedRequestTable {
  /** Time for which the node that owns a key keeps it, see the design page. */
  public static final Duration RETENTION = Duration.ofMinutes(10);

  private static final int SHARDS = 16;

  private final Shard[] shards = new Shard[SHARDS];

  /** Result of a keyed request. */
  public enum Ending {
    /** The caller received a complete response. */
    ANSWERED,
    /** The request definitely did not run. */
    NOT_RUN,
    /** The upstream may have run the request. */
    UNKNOWN
  }

  /** Creates a table for at most the given number of keys, which are divided among shards. */
  public KeyedRequestTable(int capacity) {
    int perShard = Math.max(1, capacity / SHARDS);
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new Shard(perShard);
    }
  }

  /**
   * Registers a keyed request before it is sent; each successful call must be followed by one call
   * of {@link #end}.
   *
   * @param preferred node to send to when the table has no entry for the key
   * @return the node to send to, which differs from the preferred one when an earlier request with
   *     the key went to another node; empty when the table is full and the request must be refused
   */
  public Optional<NodeId> begin(ServiceId service, String key, NodeId preferred, long nowNanos) {
    EntryKey entryKey = new EntryKey(service, key);
    return shard(entryKey).begin(entryKey, preferred, nowNanos);
  }

  /** Ends a request that was registered by {@link #begin}. */
  public void end(ServiceId service, String key, Ending ending, long nowNanos) {
    EntryKey entryKey = new EntryKey(service, key);
    shard(entryKey).end(entryKey, ending, nowNanos);
  }

  /**
   * Returns the node to which a request with the key was sent, if it is in flight or has an unknown
   * outcome.
   */
  public Optional<NodeId> destination(ServiceId service, String key, long nowNanos) {
    EntryKey entryKey = new EntryKey(service, key);
    return shard(entryKey).destination(entryKey, nowNanos);
  }

  /** Number of keys in the table, including expired keys that were not removed yet. */
  public int size() {
    int size = 0;
    for (Shard shard : shards) {
      size += shard.size();
    }
    return size;
  }

  private Shard shard(EntryKey key) {
    int hash = key.hashCode();
    return shards[(hash ^ (hash >>> 16)) & (SHARDS - 1)];
  }

  private record EntryKey(ServiceId service, String key) {}

  private static final class Entry {
    final EntryKey key;
    final NodeId node;
    int inFlight;
    long unknownUntilNanos;

    Entry(EntryKey key, NodeId node) {
      this.key = key;
      this.node = node;
    }
  }

  private static final class Shard {
    private final int capacity;
    private final Map<EntryKey, Entry> entries = new HashMap<>();

    /** Entries with an unknown outcome, in the order in which they expire. */
    private final Set<Entry> unknownOutcomes = new LinkedHashSet<>();

    Shard(int capacity) {
      this.capacity = capacity;
    }

    synchronized Optional<NodeId> begin(EntryKey key, NodeId preferred, long nowNanos) {
      removeExpired(nowNanos);
      Entry entry = entries.get(key);
      if (entry == null) {
        if (entries.size() >= capacity) {
          return Optional.empty();
        }
        entry = new Entry(key, preferred);
        entries.put(key, entry);
      }
      entry.inFlight++;
      return Optional.of(entry.node);
    }

    synchronized void end(EntryKey key, Ending ending, long nowNanos) {
      Entry entry = entries.get(key);
      entry.inFlight--;
      if (ending == Ending.UNKNOWN) {
        entry.unknownUntilNanos = nowNanos + RETENTION.toNanos();
        unknownOutcomes.remove(entry);
        unknownOutcomes.add(entry);
      }
      removeExpired(nowNanos);
      removeIfUnused(entry);
    }

    synchronized Optional<NodeId> destination(EntryKey key, long nowNanos) {
      removeExpired(nowNanos);
      return Optional.ofNullable(entries.get(key)).map(entry -> entry.node);
    }

    synchronized int size() {
      return entries.size();
    }

    private void removeExpired(long nowNanos) {
      Iterator<Entry> oldest = unknownOutcomes.iterator();
      while (oldest.hasNext()) {
        Entry entry = oldest.next();
        if (nowNanos - entry.unknownUntilNanos < 0) {
          return;
        }
        oldest.remove();
        removeIfUnused(entry);
      }
    }

    private void removeIfUnused(Entry entry) {
      if (entry.inFlight == 0 && !unknownOutcomes.contains(entry)) {
        entries.remove(entry.key, entry);
      }
    }
  }
}
