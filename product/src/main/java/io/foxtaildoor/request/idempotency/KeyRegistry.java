package io.foxtaildoor.request.idempotency;

import io.foxtaildoor.common.ServiceId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Registry of the idempotency keys of requests that were sent to the upstream. Thread-safe.
 *
 * <p>A key is never dropped before its retention time has passed. When there is no room for another
 * key, new keyed requests are refused instead.
 */
public final class KeyRegistry {
  /** Estimated size of an entry in bytes, without its key and response. */
  private static final int ENTRY_OVERHEAD_BYTES = 200;

  private final KeyRegistrySettings settings;
  private final List<Shard> shards = new ArrayList<>();

  /** Creates an empty registry. */
  public KeyRegistry(KeyRegistrySettings settings) {
    this.settings = settings;
    for (int i = 0; i < settings.shards(); i++) {
      shards.add(new Shard());
    }
  }

  /** Claims a key for a request that is about to be admitted. */
  public KeyClaimResult claim(ServiceId service, String key, long nowNanos) {
    ServiceKey full = new ServiceKey(service, key);
    return shards.get(Math.floorMod(full.hashCode(), shards.size())).claim(full, nowNanos);
  }

  /** Number of stored keys, including those of running requests. */
  public int size() {
    int total = 0;
    for (Shard shard : shards) {
      total += shard.size();
    }
    return total;
  }

  private record ServiceKey(ServiceId service, String key) {
    int bytes() {
      return ENTRY_OVERHEAD_BYTES + key.getBytes(StandardCharsets.UTF_8).length;
    }
  }

  private enum State {
    RUNNING,
    ANSWERED,
    UNKNOWN
  }

  /** State of one key; guarded by the lock of its shard. */
  private static final class Entry {
    private State state = State.RUNNING;
    private StoredResponse response;
  }

  /** Time at which the key of an ended request is dropped. */
  private record Expiration(ServiceKey key, Entry entry, long expiresAtNanos) {}

  /**
   * Part of the keys, selected by hash, with its own lock; each shard has an equal part of the
   * limits.
   */
  private final class Shard {
    private final Map<ServiceKey, Entry> entries = new HashMap<>();
    private final ArrayDeque<Expiration> expirations = new ArrayDeque<>();
    private long bytes;

    synchronized KeyClaimResult claim(ServiceKey key, long nowNanos) {
      removeExpired(nowNanos);
      Entry existing = entries.get(key);
      if (existing != null) {
        return resultForKnownKey(existing);
      }
      if (entries.size() >= settings.maxKeys() / settings.shards()
          || bytes + key.bytes() > maxBytes()) {
        return new KeyClaimResult.Full();
      }
      Entry entry = new Entry();
      entries.put(key, entry);
      bytes += key.bytes();
      return new KeyClaimResult.Granted(new RunningClaim(key, entry));
    }

    private long maxBytes() {
      return settings.maxBytes() / settings.shards();
    }

    private KeyClaimResult resultForKnownKey(Entry existing) {
      return switch (existing.state) {
        case RUNNING -> new KeyClaimResult.Duplicate("a request with this key is running");
        case UNKNOWN ->
            new KeyClaimResult.Duplicate(
                "a request with this key was already sent and its outcome is unknown");
        case ANSWERED ->
            existing.response == null
                ? new KeyClaimResult.Duplicate(
                    "the response to the request with this key was not stored")
                : new KeyClaimResult.Answered(existing.response);
      };
    }

    private void removeExpired(long nowNanos) {
      while (!expirations.isEmpty() && nowNanos - expirations.peek().expiresAtNanos() >= 0) {
        Expiration oldest = expirations.remove();
        entries.remove(oldest.key());
        bytes -= oldest.key().bytes();
        if (oldest.entry().response != null) {
          bytes -= oldest.entry().response.bytes();
        }
      }
    }

    synchronized int size() {
      return entries.size();
    }

    /** Claim of a running request. */
    private final class RunningClaim implements KeyClaimResult.Claim {
      private final ServiceKey key;
      private final Entry entry;
      private boolean ended;

      RunningClaim(ServiceKey key, Entry entry) {
        this.key = key;
        this.entry = entry;
      }

      @Override
      public void release() {
        synchronized (Shard.this) {
          if (!ended) {
            ended = true;
            entries.remove(key);
            bytes -= key.bytes();
          }
        }
      }

      @Override
      public void recordResponse(StoredResponse response, long nowNanos) {
        synchronized (Shard.this) {
          if (ended) {
            return;
          }
          // A response that does not fit is not stored; its key is kept, so that a repeat is
          // refused.
          boolean fits =
              response.bytes() <= settings.maxResponseBytes()
                  && bytes + response.bytes() <= maxBytes();
          if (fits) {
            entry.response = response;
            bytes += response.bytes();
          }
          end(State.ANSWERED, nowNanos);
        }
      }

      @Override
      public void recordUnknownOutcome(long nowNanos) {
        synchronized (Shard.this) {
          if (!ended) {
            end(State.UNKNOWN, nowNanos);
          }
        }
      }

      private void end(State state, long nowNanos) {
        ended = true;
        entry.state = state;
        expirations.add(new Expiration(key, entry, nowNanos + settings.retention().toNanos()));
      }
    }
  }
}
