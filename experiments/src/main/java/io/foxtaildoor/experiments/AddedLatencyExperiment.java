package io.foxtaildoor.experiments;

import io.foxtaildoor.process.load.Latency;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleBiFunction;

/** Compares the latency of calls through two nodes with direct calls to the same upstream. */
final class AddedLatencyExperiment implements Experiment {
  private static final double CALLS_PER_SECOND = 100;
  private static final int SLOTS = 9;
  private static final int CONNECTIONS = 110;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final long WARM_UP_MILLIS = 12_000;

  @Override
  public void run(Options options, Report report) throws IOException {
    try (Load load = new Load();
        Mesh mesh = new Mesh(options, Map.of(), "")) {
      mesh.startNodes(2);
      mesh.createOperator();
      mesh.submitAndApprove(Questionnaires.bookings(DEADLINE_MILLIS));
      int upstream = mesh.startUpstreams(SLOTS, List.of(mesh.nodes().get(1))).get(0);
      Pause.millis(WARM_UP_MILLIS);
      int caller = mesh.nodes().get(0).callerPort();
      List<Latency> throughNodes = new ArrayList<>();
      List<Latency> direct = new ArrayList<>();
      // The first pair is a warm-up, in which the JVM compiles the code of the path.
      for (int i = -1; i < options.repetitions; i++) {
        Latency measured = measureLatency(options, load, report, "through two nodes", i, caller);
        Latency base = measureLatency(options, load, report, "direct", i, upstream);
        if (i >= 0) {
          throughNodes.add(measured);
          direct.add(base);
        }
      }
      report.add(
          new Report.Row()
              .put("nodes", 2)
              .put("path", "medians over " + options.repetitions + " pairs")
              .put(
                  "p50DifferenceMillis",
                  medianOfPairs(throughNodes, direct, (a, b) -> p50DifferenceMillis(a, b)))
              .put(
                  "p99DifferenceMillis",
                  medianOfPairs(throughNodes, direct, (a, b) -> p99DifferenceMillis(a, b)))
              .put(
                  "p50Ratio",
                  medianOfPairs(
                      throughNodes, direct, (a, b) -> ratio(a.p50Micros(), b.p50Micros())))
              .put(
                  "p99Ratio",
                  medianOfPairs(
                      throughNodes, direct, (a, b) -> ratio(a.p99Micros(), b.p99Micros()))));
    }
  }

  private static Latency measureLatency(
      Options options, Load load, Report report, String path, int repetition, int port) {
    Load.Measured measured =
        load.run(
            options,
            CONNECTIONS,
            List.of(
                Load.createStreamPlan(
                    path, port, "URGENT", CALLS_PER_SECOND, Duration.ofMillis(DEADLINE_MILLIS))));
    Latency latency = measured.result().streams().get(0).latency();
    report.add(
        new Report.Row()
            .put("nodes", 2)
            .put("path", path)
            .put("repetition", repetition < 0 ? "warm-up" : repetition)
            .put("answers", latency.count())
            .put("p50Millis", latency.p50Micros() / 1e3)
            .put("p99Millis", latency.p99Micros() / 1e3)
            .put("generatorLateP99Millis", measured.latenessP99Millis()));
    return latency;
  }

  private static double medianOfPairs(
      List<Latency> left, List<Latency> right, ToDoubleBiFunction<Latency, Latency> value) {
    List<Double> values = new ArrayList<>();
    for (int i = 0; i < left.size(); i++) {
      values.add(value.applyAsDouble(left.get(i), right.get(i)));
    }
    return new Samples(values).median();
  }

  private static double p50DifferenceMillis(Latency left, Latency right) {
    return (left.p50Micros() - right.p50Micros()) / 1e3;
  }

  private static double p99DifferenceMillis(Latency left, Latency right) {
    return (left.p99Micros() - right.p99Micros()) / 1e3;
  }

  private static double ratio(long left, long right) {
    return left / (double) right;
  }
}
