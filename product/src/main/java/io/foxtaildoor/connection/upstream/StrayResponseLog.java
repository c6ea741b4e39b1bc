package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.LogRateLimiter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;

/**
 * Logs responses that belong to another request than the one in progress: both ids, the status, and
 * whether the other request was sent on the connection before. The rate of the lines is limited,
 * and each line states how many lines were omitted before it.
 */
final class StrayResponseLog {
  private static final Logger LOGGER = System.getLogger(StrayResponseLog.class.getName());

  /** At 0.2 ms a line, the lines use at most 0.2% of a core. */
  private static final int LINES_PER_SECOND = 10;

  /** Longer ids are cut, since a faulty upstream chooses the id. */
  private static final int MAX_ID_LENGTH = 80;

  private final LogRateLimiter lineBudget = new LogRateLimiter(LINES_PER_SECOND);

  /**
   * Logs one response.
   *
   * @param requestId id of the request in progress
   * @param namedId id that the response names
   * @param sentEarlier whether a request with the named id was sent on the connection before
   * @param requests number of requests that were sent on the connection, including the one in
   *     progress
   */
  void log(
      String requestId,
      String namedId,
      int status,
      boolean sentEarlier,
      int requests,
      long nowNanos) {
    int omittedLines = lineBudget.tryAcquire(nowNanos);
    if (omittedLines >= 0) {
      LOGGER.log(
          Level.WARNING,
          () ->
              String.format(
                  Locale.ROOT,
                  "request %s: dropped a response with status %d to request %s, which %s sent on"
                      + " the connection before; requests on the connection %d, omitted lines %d",
                  requestId,
                  status,
                  namedId.substring(0, Math.min(namedId.length(), MAX_ID_LENGTH)),
                  sentEarlier ? "was" : "was not",
                  requests,
                  omittedLines));
    }
  }
}
