package io.foxtaildoor.common;

/** Bounds the log lines of one kind to a number in each second; safe for use by several threads. */
public final class LogRateLimiter {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final int linesPerSecond;
  private boolean hasWindow;
  private long windowStartNanos;
  private int linesInWindow;
  private int suppressed;

  /** Creates a budget that is not used yet. */
  public LogRateLimiter(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Takes a line.
   *
   * @return how many lines were left out since the last one; negative when this one is left out
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
    int former = suppressed;
    suppressed = 0;
    return former;
  }
}
