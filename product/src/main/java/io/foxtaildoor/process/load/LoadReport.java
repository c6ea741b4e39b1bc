package io.foxtaildoor.process.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Results of one or more repetitions of a load plan, optionally compared with a baseline.
 *
 * @param runs results of the candidate, one for each repetition
 * @param baselines results of the baseline, one for each repetition in the same order; empty
 *     without a baseline
 * @param ratios median ratios of candidate to baseline for the streams that both have; empty
 *     without a baseline
 */
public record LoadReport(
    String title, List<LoadResult> runs, List<LoadResult> baselines, List<StreamRatio> ratios) {
  /** Creates a report of runs without a baseline. */
  public static LoadReport of(String title, List<LoadResult> runs) {
    return new LoadReport(title, List.copyOf(runs), List.of(), List.of());
  }

  /** Creates a report that compares runs with the same number of baseline runs. */
  public static LoadReport compare(
      String title, List<LoadResult> runs, List<LoadResult> baselines) {
    if (runs.isEmpty() || runs.size() != baselines.size()) {
      throw new IllegalArgumentException(
          "a comparison needs at least one run and as many baseline runs as runs");
    }
    List<StreamRatio> ratios = new ArrayList<>();
    for (StreamResult stream : runs.get(0).streams()) {
      if (findStream(baselines.get(0), stream.name()) != null) {
        ratios.add(
            new StreamRatio(
                stream.name(),
                medianRatio(runs, baselines, stream.name(), result -> result.latency().p50Micros()),
                medianRatio(runs, baselines, stream.name(), result -> result.latency().p99Micros()),
                medianRatio(runs, baselines, stream.name(), StreamResult::inTimeShare)));
      }
    }
    return new LoadReport(title, List.copyOf(runs), List.copyOf(baselines), List.copyOf(ratios));
  }

  private static double medianRatio(
      List<LoadResult> runs,
      List<LoadResult> baselines,
      String name,
      ToDoubleFunction<StreamResult> value) {
    List<Double> ratios = new ArrayList<>();
    for (int i = 0; i < runs.size(); i++) {
      double baseline = value.applyAsDouble(findStream(baselines.get(i), name));
      if (baseline != 0) {
        ratios.add(value.applyAsDouble(findStream(runs.get(i), name)) / baseline);
      }
    }
    if (ratios.isEmpty()) {
      return Double.NaN;
    }
    ratios.sort(null);
    int middle = ratios.size() / 2;
    boolean odd = ratios.size() % 2 == 1;
    return odd ? ratios.get(middle) : (ratios.get(middle - 1) + ratios.get(middle)) / 2;
  }

  private static StreamResult findStream(LoadResult result, String name) {
    for (StreamResult stream : result.streams()) {
      if (stream.name().equals(name)) {
        return stream;
      }
    }
    return null;
  }
}
