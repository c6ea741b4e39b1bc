package io.foxtaildoor.process.load;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Generates the intended send times of one stream, in nanoseconds since the start of the run. */
final class ArrivalTimes {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final ArrivalProcess process;
  private final double meanGapNanos;
  private final RandomGenerator random;
  private double next;

  ArrivalTimes(ArrivalProcess process, double ratePerSecond, RandomGenerator random) {
    this.process = process;
    this.meanGapNanos = NANOS_PER_SECOND / ratePerSecond;
    this.random = random;
    this.next = gap();
  }

  /** Returns the next send time without advancing. */
  long peek() {
    return (long) next;
  }

  /** Returns the next send time and advances to the following one. */
  long take() {
    long taken = (long) next;
    next += gap();
    return taken;
  }

  private double gap() {
    if (process == ArrivalProcess.CONSTANT) {
      return meanGapNanos;
    }
    return -Math.log(1 - random.nextDouble()) * meanGapNanos;
  }
}
