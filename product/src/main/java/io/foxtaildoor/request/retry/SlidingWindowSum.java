package io.foxtaildoor.request.retry;

import java.time.Duration;
import java.util.Arrays;

/** Sum of the amounts added in a sliding window, which is divided into slices. Not thread-safe. */
final class SlidingWindowSum {
  /** Number of slices of a window; a sum is accurate to one slice. */
  private static final int SLICES = 20;

  private final long sliceNanos;

  /** Has one more slice than a window, because the window begins and ends within a slice. */
  private final double[] slices = new double[SLICES + 1];

  private long latestSlice;

  SlidingWindowSum(Duration window, long nowNanos) {
    sliceNanos = Math.max(1, window.toNanos() / SLICES);
    latestSlice = Math.floorDiv(nowNanos, sliceNanos);
  }

  void add(double amount, long nowNanos) {
    advance(nowNanos);
    slices[indexOf(latestSlice)] += amount;
  }

  /** Upper bound of the sum in the window: the sum of all slices that overlap the window. */
  double upperBound(long nowNanos) {
    double sum = 0;
    advance(nowNanos);
    for (double slice : slices) {
      sum += slice;
    }
    return sum;
  }

  /**
   * Lower bound of the sum in the window: the sum of the slices that lie entirely within the
   * window.
   */
  double lowerBound(long nowNanos) {
    double sum = upperBound(nowNanos);
    return sum - slices[indexOf(latestSlice - SLICES)];
  }

  private void advance(long nowNanos) {
    long current = Math.floorDiv(nowNanos, sliceNanos);
    if (current - latestSlice >= slices.length) {
      Arrays.fill(slices, 0);
      latestSlice = current;
    }
    while (latestSlice < current) {
      latestSlice++;
      slices[indexOf(latestSlice)] = 0;
    }
  }

  private int indexOf(long slice) {
    return (int) Math.floorMod(slice, (long) slices.length);
  }
}
