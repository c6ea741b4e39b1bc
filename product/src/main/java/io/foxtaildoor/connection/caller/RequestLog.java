package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.LogRateLimiter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Logs one line for each request that was refused, failed or retried, with the facts behind the
 * decision. Requests that succeed at the first attempt are not logged. The rate of each kind of
 * line is limited, and each line states how many lines were omitted before it.
 */
public final class RequestLog {
  private static final Logger LOGGER = System.getLogger(RequestLog.class.getName());

  /** At 0.2 ms a line, each kind of line uses at most 0.2% of a core. */
  private static final int LINES_PER_SECOND = 10;

  private final LogRateLimiter notRunLineBudget = new LogRateLimiter(LINES_PER_SECOND);
  private final LogRateLimiter unknownOutcomeLineBudget = new LogRateLimiter(LINES_PER_SECOND);
  private final LogRateLimiter retryLineBudget = new LogRateLimiter(LINES_PER_SECOND);

  /**
   * State of a request at the time of a decision.
   *
   * @param version configuration version that was used to route the request
   * @param attempts number of times that the request was sent
   * @param arrivals number of attempts that reached or may have reached an upstream
   * @param ageMillis time since the request head was read
   * @param remainingMillis time until the deadline of the request
   */
  record Context(
      String requestId,
      String route,
      String service,
      long version,
      int attempts,
      int arrivals,
      long ageMillis,
      long remainingMillis) {
    static Context of(
        RequestHead head, int attempts, int arrivals, long receivedNanos, long nowNanos) {
      return new Context(
          head.requestId(),
          head.route().name(),
          head.service().value(),
          head.message().getConfigVersion(),
          attempts,
          arrivals,
          TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos),
          TimeUnit.NANOSECONDS.toMillis(head.deadlineNanos() - nowNanos));
    }
  }

  /** Logs a request that ended with an error response of this node. */
  void logFailure(Context context, ErrorKind kind, boolean notRun, String detail, long nowNanos) {
    int omittedLines = (notRun ? notRunLineBudget : unknownOutcomeLineBudget).tryAcquire(nowNanos);
    if (omittedLines >= 0) {
      LOGGER.log(
          Level.INFO,
          () ->
              formatLine("failed with " + kind.headerValue(), context, omittedLines)
                  + formatReason(notRun, detail));
    }
  }

  /** Logs a request that is retried on another instance. */
  void logRetry(Context context, ErrorKind kind, boolean notRun, String detail, long nowNanos) {
    int omittedLines = retryLineBudget.tryAcquire(nowNanos);
    if (omittedLines >= 0) {
      LOGGER.log(
          Level.INFO,
          () ->
              formatLine("retried after " + kind.headerValue(), context, omittedLines)
                  + formatReason(notRun, detail));
    }
  }

  private static String formatLine(String event, Context context, int omittedLines) {
    return String.format(
        Locale.ROOT,
        "request %s %s: route %s, service %s, version %d, attempts %d, arrivals %d, age %d ms,"
            + " remaining %d ms, omitted lines %d",
        context.requestId,
        event,
        context.route,
        context.service,
        context.version,
        context.attempts,
        context.arrivals,
        context.ageMillis,
        context.remainingMillis,
        omittedLines);
  }

  private static String formatReason(boolean notRun, String detail) {
    return (notRun ? ", not run: " : ", outcome unknown: ") + detail;
  }
}
