package io.foxtaildoor.request.retry;

import java.time.Duration;
import java.util.Arrays;

/** Sum of what was added in the latest window, kept in slices of it; not safe for threads. */
final class SlidingWindowSum {
  /** Parts of a window; a sum is exact to one of them. */
  private static final int SLICES = 20;

  private final long sliceNanos;

  /** One slice more than a window has, since the window begins and ends within slices. */
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

  /** Sum of all slices that overlap the window; at least what was added in it. */
  double upperBound(long nowNanos) {
    double sum = 0;
    advance(nowNanos);
    for (double slice : slices) {
      sum += slice;
    }
    return sum;
  }

  /** Sum of the slices that lie within the window as a whole; at most what was added in it. */
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
