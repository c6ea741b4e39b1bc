package io.foxtaildoor.process.load;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Generates the intended send times of one stream, in nanoseconds since the start of the run. */
final class ArrivalTimes {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final ArrivalProcess process;
  private final double meanIntervalNanos;
  private final RandomGenerator random;
  private double nextNanos;

  ArrivalTimes(ArrivalProcess process, double ratePerSecond, RandomGenerator random) {
    this.process = process;
    this.meanIntervalNanos = NANOS_PER_SECOND / ratePerSecond;
    this.random = random;
    this.nextNanos = nextInterval();
  }

  /** Returns the next send time without advancing. */
  long peek() {
    return (long) nextNanos;
  }

  /** Returns the next send time and advances to the following one. */
  long take() {
    long taken = (long) nextNanos;
    nextNanos += nextInterval();
    return taken;
  }

  private double nextInterval() {
    if (process == ArrivalProcess.CONSTANT) {
      return meanIntervalNanos;
    }
    return -Math.log(1 - random.nextDouble()) * meanIntervalNanos;
  }
}
