package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates of the service time of each rank, in nanoseconds: exponentially weighted mean and mean
 * deviation.
 */
final class ServiceTimes {
  /** Weight of a new sample; 1/8 is the usual choice for estimates of round-trip times. */
  private static final double SAMPLE_WEIGHT = 1.0 / 8;

  /**
   * Number of mean deviations above the mean within which almost every request finishes. A request
   * that starts with less time left would probably occupy a slot for nothing.
   */
  private static final double BOUND_DEVIATIONS = 2;

  private final Map<Rank, Estimate> estimates = new EnumMap<>(Rank.class);
  private double overallMean;

  /** Mean and mean deviation of one rank. */
  private static final class Estimate {
    private double mean;
    private double deviation;

    Estimate(double first) {
      mean = first;
      deviation = first / 4;
    }

    void add(double nanos) {
      deviation += SAMPLE_WEIGHT * (Math.abs(nanos - mean) - deviation);
      mean += SAMPLE_WEIGHT * (nanos - mean);
    }
  }

  void add(Rank rank, double nanos) {
    overallMean = overallMean == 0 ? nanos : overallMean + SAMPLE_WEIGHT * (nanos - overallMean);
    Estimate estimate = estimates.get(rank);
    if (estimate == null) {
      estimates.put(rank, new Estimate(nanos));
    } else {
      estimate.add(nanos);
    }
  }

  /** Mean over all ranks; 0 before the first sample. */
  double overallMean() {
    return overallMean;
  }

  /** Mean of a rank; before its first sample, the mean over all ranks. */
  double mean(Rank rank) {
    Estimate estimate = estimates.get(rank);
    return estimate == null ? overallMean : estimate.mean;
  }

  /**
   * Time within which most requests of a rank finish; before its first sample, the mean over all
   * ranks.
   */
  double typical(Rank rank) {
    Estimate estimate = estimates.get(rank);
    return estimate == null ? overallMean : estimate.mean + estimate.deviation;
  }

  /**
   * Time within which a request of a rank almost certainly finishes; before its first sample, the
   * mean over all ranks, which is 0 at the start.
   */
  double upperBound(Rank rank) {
    Estimate estimate = estimates.get(rank);
    return estimate == null ? overallMean : estimate.mean + BOUND_DEVIATIONS * estimate.deviation;
  }
}
