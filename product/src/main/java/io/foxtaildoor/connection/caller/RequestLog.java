package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.LogRateLimiter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * One line for each request that was refused, failed or sent again, with what decided it. Requests
 * that were served without an incident have no line. The lines of each kind are bounded, and a line
 * tells how many were left out before it.
 */
public final class RequestLog {
  private static final Logger LOGGER = System.getLogger(RequestLog.class.getName());

  /** At 0.2 ms a line, each kind takes at most 0.2% of a core. */
  private static final int LINES_PER_SECOND = 10;

  private final LogRateLimiter ends = new LogRateLimiter(LINES_PER_SECOND);
  private final LogRateLimiter unknown = new LogRateLimiter(LINES_PER_SECOND);
  private final LogRateLimiter repeats = new LogRateLimiter(LINES_PER_SECOND);

  /**
   * What a decision on a request rested on.
   *
   * @param version configuration version that the request was routed by
   * @param attempts times that it was sent
   * @param arrivals times that it reached an upstream or may have
   * @param ageMillis time since its head was read
   * @param leftMillis time to its deadline
   */
  record Context(
      String requestId,
      String route,
      String service,
      long version,
      int attempts,
      int arrivals,
      long ageMillis,
      long leftMillis) {
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

  /** A request ended with an answer of the node's own. */
  void ended(Context context, ErrorKind kind, boolean notRun, String detail, long nowNanos) {
    int leftOut = (notRun ? ends : unknown).tryAcquire(nowNanos);
    if (leftOut >= 0) {
      LOGGER.log(
          Level.INFO,
          () -> line("ended as " + kind.headerValue(), context, leftOut) + reason(notRun, detail));
    }
  }

  /** A request is sent to another instance. */
  void repeated(Context context, ErrorKind kind, boolean notRun, String detail, long nowNanos) {
    int leftOut = repeats.tryAcquire(nowNanos);
    if (leftOut >= 0) {
      LOGGER.log(
          Level.INFO,
          () ->
              line("sent again after " + kind.headerValue(), context, leftOut)
                  + reason(notRun, detail));
    }
  }

  private static String line(String event, Context c, int leftOut) {
    return String.format(
        Locale.ROOT,
        "request %s %s: route %s, service %s, version %d, attempts %d, arrivals %d, age %d ms,"
            + " left %d ms, lines left out %d",
        c.requestId,
        event,
        c.route,
        c.service,
        c.version,
        c.attempts,
        c.arrivals,
        c.ageMillis,
        c.leftMillis,
        leftOut);
  }

  private static String reason(boolean notRun, String detail) {
    return (notRun ? ", not run: " : ", outcome unknown: ") + detail;
  }
}
