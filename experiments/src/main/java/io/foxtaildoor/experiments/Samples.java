package io.foxtaildoor.experiments;

import java.util.Arrays;
import java.util.Collection;

/** Order statistics of a few samples. */
final class Samples {
  private final double[] sorted;

  /** Copies the samples, of which there must be at least one. */
  Samples(Collection<Double> samples) {
    if (samples.isEmpty()) {
      throw new IllegalArgumentException("needs at least one sample");
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
