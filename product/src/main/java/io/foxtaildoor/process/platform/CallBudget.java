package io.foxtaildoor.process.platform;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Token bucket for calls; a call may reserve a token that becomes free later. */
final class CallBudget {
  private final long nanosPerCall;
  private final long burstNanos;
  private long nextNanos;
  private boolean used;

  CallBudget(CallRate rate) {
    nanosPerCall = (long) (TimeUnit.SECONDS.toNanos(1) / rate.perSecond());
    burstNanos = nanosPerCall * (rate.burst() - 1);
  }

  /**
   * Reserves a token.
   *
   * @return the wait in nanoseconds until the call may start; empty, with nothing reserved, when it
   *     is longer than the limit
   */
  synchronized OptionalLong reserve(long nowNanos, long maxWaitNanos) {
    if (!used || nowNanos - nextNanos > 0) {
      nextNanos = nowNanos;
      used = true;
    }
    long wait = Math.max(0, nextNanos - burstNanos - nowNanos);
    if (wait > maxWaitNanos) {
      return OptionalLong.empty();
    }
    nextNanos += nanosPerCall;
    return OptionalLong.of(wait);
  }
}
