package io.foxtaildoor.process.platform;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the rate of calls. A caller may reserve a token that becomes available
 * only later, and must then wait for it.
 */
final class CallBudget {
  private final long nanosPerCall;
  private final long burstNanos;
  private long nextFreeNanos;
  private boolean initialized;

  CallBudget(CallRate rate) {
    nanosPerCall = (long) (TimeUnit.SECONDS.toNanos(1) / rate.perSecond());
    burstNanos = nanosPerCall * (rate.burst() - 1);
  }

  /**
   * Reserves a token.
   *
   * @param maxWaitNanos longest acceptable wait in nanoseconds
   * @return the time in nanoseconds to wait before the call may start, or empty if it would exceed
   *     {@code maxWaitNanos}; no token is reserved then
   */
  synchronized OptionalLong reserve(long nowNanos, long maxWaitNanos) {
    if (!initialized || nowNanos - nextFreeNanos > 0) {
      nextFreeNanos = nowNanos;
      initialized = true;
    }
    long wait = Math.max(0, nextFreeNanos - burstNanos - nowNanos);
    if (wait > maxWaitNanos) {
      return OptionalLong.empty();
    }
    nextFreeNanos += nanosPerCall;
    return OptionalLong.of(wait);
  }
}
