package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ServiceId;

/** Is notified of the requests that the local upstream processes. */
public interface UpstreamRequestListener {
  /**
   * The first byte of a request was written to the upstream.
   *
   * @param deadlineNanos deadline of the request, in monotonic time
   */
  void requestStarted(long deadlineNanos);

  /**
   * A request that was sent to the upstream ended. Requests that the upstream declared as not run
   * are not reported.
   *
   * @param repeatProbability probability that the request was a repeat of an earlier one, from 0 to
   *     1
   */
  void requestFinished(
      ServiceId service, double repeatProbability, boolean idempotent, long nowNanos);
}
