package io.foxtaildoor.experiments;

import java.util.Arrays;
import java.util.Collection;

/** Median and maximum of a small number of samples. */
final class Samples {
  private final double[] sorted;

  /**
   * Copies the samples.
   *
   * @throws IllegalArgumentException when there are none
   */
  Samples(Collection<Double> samples) {
    if (samples.isEmpty()) {
      throw new IllegalArgumentException("at least one sample is required");
    }
    sorted = samples.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
  }

  double median() {
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }

  double max() {
    return sorted[sorted.length - 1];
  }
}
