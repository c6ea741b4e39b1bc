package io.foxtaildoor.common;

/** Limits the log lines of one kind to a maximum per second. Thread-safe. */
public final class LogRateLimiter {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final int linesPerSecond;
  private boolean hasWindow;
  private long windowStartNanos;
  private int linesInWindow;
  private int suppressed;

  /** Creates a limiter that admits up to the given number of lines per second. */
  public LogRateLimiter(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Requests permission to log one line.
   *
   * @return the number of lines suppressed since the last admitted line; negative when this line is
   *     suppressed
   */
  public synchronized int tryAcquire(long nowNanos) {
    if (!hasWindow || nowNanos - windowStartNanos >= SECOND_NANOS) {
      hasWindow = true;
      windowStartNanos = nowNanos;
      linesInWindow = 0;
    }
    if (linesInWindow >= linesPerSecond) {
      suppressed++;
      return -1;
    }
    linesInWindow++;
    int previouslySuppressed = suppressed;
    suppressed = 0;
    return previouslySuppressed;
  }
}
