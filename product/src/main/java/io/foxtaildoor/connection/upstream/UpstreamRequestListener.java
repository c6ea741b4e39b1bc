package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ServiceId;

/** Hears of the runs of the local upstream. */
public interface UpstreamRequestListener {
  /** A run begins, with its deadline in monotonic time. */
  void requestStarted(long deadlineNanos);

  /**
   * A run ended.
   *
   * @param repeatShare probability that it was a repeat, from 0 to 1
   */
  void requestFinished(ServiceId service, double repeatShare, boolean idempotent, long nowNanos);
}
