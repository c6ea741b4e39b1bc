package io.foxtaildoor.version.distribution;

import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.Optional;

/** Schedules the notices of the newest version: one immediately and another after a delay. */
final class NoticeSchedule {
  private static final int NOTICES_PER_VERSION = 2;

  private final long repeatDelayNanos;
  private VersionStamp stamp = VersionStamp.NONE;
  private int remaining;
  private long dueNanos;

  NoticeSchedule(long repeatDelayNanos) {
    this.repeatDelayNanos = repeatDelayNanos;
  }

  /** Schedules the notices of a version and cancels those of the previous version. */
  void scheduleNotices(VersionStamp newStamp, long nowNanos) {
    stamp = newStamp;
    remaining = NOTICES_PER_VERSION;
    dueNanos = nowNanos;
  }

  /** Returns the version whose notice is due, and marks this notice as sent. */
  Optional<VersionStamp> takeDueNotice(long nowNanos) {
    if (remaining == 0 || dueNanos - nowNanos > 0) {
      return Optional.empty();
    }
    remaining--;
    dueNanos = nowNanos + repeatDelayNanos;
    return Optional.of(stamp);
  }

  /**
   * Returns the nanoseconds until the next notice; {@link Long#MAX_VALUE} when none is scheduled.
   */
  long nanosUntilNext(long nowNanos) {
    return remaining == 0 ? Long.MAX_VALUE : Math.max(0, dueNanos - nowNanos);
  }
}
