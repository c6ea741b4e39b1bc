package io.foxtaildoor.connection.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of the request bodies that all connections buffer for retries. Thread-safe.
 */
final class ReplayBufferBudget {
  private final long maxBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  ReplayBufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes and returns true, or returns false if the limit would be exceeded. */
  boolean tryReserve(int bytes) {
    long total = usedBytes.addAndGet(bytes);
    if (total > maxBytes) {
      usedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(int bytes) {
    usedBytes.addAndGet(-bytes);
  }

  long usedBytes() {
    return usedBytes.get();
  }
}
