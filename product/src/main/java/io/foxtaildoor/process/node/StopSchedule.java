package io.foxtaildoor.process.node;

import java.time.Duration;

/**
 * Times of a planned stop, counted from the termination signal.
 *
 * @param notice time for which the node accepts every request, so that callers can notice the stop;
 *     it drains afterwards
 * @param close time at which the connections that are still open are closed
 */
record StopSchedule(Duration notice, Duration close) {
  /**
   * The platform checks readiness once a second and moves callers to other nodes after two failed
   * checks.
   */
  private static final Duration MAX_NOTICE = Duration.ofSeconds(3);

  /** Divisor of the stop limit for the notice, if the limit is short. */
  private static final int NOTICE_DIVISOR = 2;

  /** Share of the stop limit that is left for closing connections and ending the process. */
  private static final double CLOSING_SHARE = 0.05;

  /**
   * Returns the schedule of a node on a platform that kills the process.
   *
   * @param stopLimit time from the termination signal until the process is killed
   */
  static StopSchedule within(Duration stopLimit) {
    Duration half = stopLimit.dividedBy(NOTICE_DIVISOR);
    Duration closing = Duration.ofMillis((long) (stopLimit.toMillis() * CLOSING_SHARE));
    return new StopSchedule(
        half.compareTo(MAX_NOTICE) < 0 ? half : MAX_NOTICE, stopLimit.minus(closing));
  }
}
