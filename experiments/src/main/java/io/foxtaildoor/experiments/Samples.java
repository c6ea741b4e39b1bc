package io.foxtaildoor.experiments;

import java.util.Arrays;
import java.util.Collection;

/** Median and maximum of a small number of samples. */
final class Samples {
  private final double[] sortedSamples;

  /**
   * Copies the samples.
   *
   * @throws IllegalArgumentException when there are none
   */
  Samples(Collection<Double> samples) {
    if (samples.isEmpty()) {
      throw new IllegalArgumentException("at least one sample is required");
    }
    sortedSamples = samples.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sortedSamples);
  }

  double median() {
    int middle = sortedSamples.length / 2;
    return sortedSamples.length % 2 == 1
        ? sortedSamples[middle]
        : (sortedSamples[middle - 1] + sortedSamples[middle]) / 2;
  }

  double max() {
    return sortedSamples[sortedSamples.length - 1];
  }
}
