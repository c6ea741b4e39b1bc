package io.foxtaildoor.version.distribution;

import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.Optional;

/** Decides when notices of the newest version are sent: at once and once more after a delay. */
final class NoticeSchedule {
  private static final int NOTICES_PER_VERSION = 2;

  private final long repeatDelayNanos;
  private VersionStamp stamp = VersionStamp.NONE;
  private int remaining;
  private long dueNanos;

  NoticeSchedule(long repeatDelayNanos) {
    this.repeatDelayNanos = repeatDelayNanos;
  }

  /** Plans the notices of a version; those of an older one are dropped. */
  void scheduleNotices(VersionStamp newStamp, long nowNanos) {
    stamp = newStamp;
    remaining = NOTICES_PER_VERSION;
    dueNanos = nowNanos;
  }

  /** Takes the version whose notice is due now. */
  Optional<VersionStamp> takeDueNotice(long nowNanos) {
    if (remaining == 0 || dueNanos - nowNanos > 0) {
      return Optional.empty();
    }
    remaining--;
    dueNanos = nowNanos + repeatDelayNanos;
    return Optional.of(stamp);
  }

  /** Nanoseconds until the next notice; {@link Long#MAX_VALUE} when there is none. */
  long nanosUntilNext(long nowNanos) {
    return remaining == 0 ? Long.MAX_VALUE : Math.max(0, dueNanos - nowNanos);
  }
}
