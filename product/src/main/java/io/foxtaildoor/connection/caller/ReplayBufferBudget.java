package io.foxtaildoor.connection.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bound on the request bodies that all connections hold for retries; safe for several threads. */
final class ReplayBufferBudget {
  private final long maxBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  ReplayBufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes unless that would exceed the bound. */
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
