package io.foxtaildoor.version.distribution;

import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.Optional;

/** Decides when notices of the newest version are sent: at once and once more after a delay. */
final class NoticePlan {
  private static final int NOTICES = 2;

  private final long repeatNanos;
  private VersionStamp stamp = VersionStamp.NONE;
  private int remaining;
  private long dueNanos;

  NoticePlan(long repeatNanos) {
    this.repeatNanos = repeatNanos;
  }

  /** Plans the notices of a version; those of an older one are dropped. */
  void applied(VersionStamp applied, long nowNanos) {
    stamp = applied;
    remaining = NOTICES;
    dueNanos = nowNanos;
  }

  /** Takes the version whose notice is due now. */
  Optional<VersionStamp> take(long nowNanos) {
    if (remaining == 0 || dueNanos - nowNanos > 0) {
      return Optional.empty();
    }
    remaining--;
    dueNanos = nowNanos + repeatNanos;
    return Optional.of(stamp);
  }

  /** Nanoseconds until the next notice; {@link Long#MAX_VALUE} when there is none. */
  long nanosUntilNext(long nowNanos) {
    return remaining == 0 ? Long.MAX_VALUE : Math.max(0, dueNanos - nowNanos);
  }
}
