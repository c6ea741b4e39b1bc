package io.foxtaildoor.standins.platform;

import java.util.HashMap;
import java.util.Map;

/** Holds keys and leases in memory. Confined to the event loop of the stand-in. */
final class PlatformStore {
  /** Maximum size of a value in bytes. */
  static final int MAX_VALUE_BYTES = 1_000_000;

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Lease> leases = new HashMap<>();
  private long lastRevision;
  private long lastToken;

  /** A key with its value and revision; revision 0 and an empty value when the key is absent. */
  @SuppressWarnings(
      "ArrayRecordComponent") // Entries are never compared, so the identity of the array does not
  // matter.
  record Entry(String key, long revision, byte[] value) {}

  /** A lease that expires at a time of the monotonic clock {@link System#nanoTime}. */
  record Lease(String key, String holder, long token, long ttlMillis, long expiresAtNanos) {
    boolean isExpired(long nowNanos) {
      return nowNanos - expiresAtNanos >= 0;
    }
  }

  /** Result of a conditional change: whether it took effect, and the value afterwards. */
  record Change<T>(boolean applied, T present) {}

  Entry get(String key) {
    Entry entry = entries.get(key);
    return entry == null ? absent(key) : entry;
  }

  private static Entry absent(String key) {
    return new Entry(key, 0, new byte[0]);
  }

  Change<Entry> compareAndSet(String key, long expected, byte[] value) {
    Entry present = get(key);
    if (present.revision() != expected) {
      return new Change<>(false, present);
    }
    lastRevision++;
    Entry written = new Entry(key, lastRevision, value);
    entries.put(key, written);
    return new Change<>(true, written);
  }

  Change<Entry> compareAndDelete(String key, long expected) {
    Entry present = get(key);
    if (present.revision() != expected) {
      return new Change<>(false, present);
    }
    entries.remove(key);
    return new Change<>(true, absent(key));
  }

  /**
   * Grants a lease unless another holder has it. The present holder may acquire it again and gets a
   * new token.
   */
  Change<Lease> acquire(String key, String holder, long ttlMillis, long nowNanos) {
    Lease present = leases.get(key);
    if (present != null && !present.isExpired(nowNanos) && !present.holder().equals(holder)) {
      return new Change<>(false, present);
    }
    lastToken++;
    return new Change<>(true, storeLease(key, holder, lastToken, ttlMillis, nowNanos));
  }

  Change<Lease> renew(String key, String holder, long token, long ttlMillis, long nowNanos) {
    Lease present = leases.get(key);
    if (!isHeldBy(present, holder, token, nowNanos)) {
      return new Change<>(false, present);
    }
    return new Change<>(true, storeLease(key, holder, token, ttlMillis, nowNanos));
  }

  Change<Lease> release(String key, String holder, long token, long nowNanos) {
    Lease present = leases.get(key);
    if (!isHeldBy(present, holder, token, nowNanos)) {
      return new Change<>(false, present);
    }
    leases.remove(key);
    return new Change<>(true, present);
  }

  void expireLeases() {
    leases.clear();
  }

  private Lease storeLease(String key, String holder, long token, long ttlMillis, long nowNanos) {
    long expiresAt = nowNanos + ttlMillis * 1_000_000;
    Lease lease = new Lease(key, holder, token, ttlMillis, expiresAt);
    leases.put(key, lease);
    return lease;
  }

  private static boolean isHeldBy(Lease present, String holder, long token, long nowNanos) {
    return present != null
        && !present.isExpired(nowNanos)
        && present.token() == token
        && present.holder().equals(holder);
  }
}
