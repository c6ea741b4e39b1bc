package io.foxtaildoor.connection.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bound on the request bodies that all connections hold for retries; safe for several threads. */
final class ReplayMemory {
  private final long limit;
  private final AtomicLong used = new AtomicLong();

  ReplayMemory(long limit) {
    this.limit = limit;
  }

  /** Reserves bytes unless that would exceed the bound. */
  boolean tryReserve(int bytes) {
    long total = used.addAndGet(bytes);
    if (total > limit) {
      used.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(int bytes) {
    used.addAndGet(-bytes);
  }

  long used() {
    return used.get();
  }
}
