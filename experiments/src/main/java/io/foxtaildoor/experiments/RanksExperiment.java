package io.foxtaildoor.experiments;

import io.foxtaildoor.process.load.Failure;
import io.foxtaildoor.process.load.StreamPlan;
import io.foxtaildoor.process.load.StreamResult;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures how requests of each rank are served when one rank floods the mesh. The baseline is a
 * mesh with FIFO admission and round-robin selection of upstreams.
 */
final class RanksExperiment implements Experiment {
  private static final int NODES = 5;
  private static final int SLOTS = 9;
  private static final int DEADLINE_MILLIS = 500;
  private static final int CONNECTIONS_PER_NODE = 800;
  private static final String BASELINE_SETTINGS =
      "requests: {admission: fifo, selection: round-robin}\n";

  /** Covers the cold start of 5 s in the questionnaire and the slow start of 10 s at the nodes. */
  private static final long WARM_UP_MILLIS = 12_000;

  /** Offered load of each rank as a multiple of the capacity, the most urgent rank first. */
  private record Case(String name, List<Double> relativeLoads) {}

  private static final List<Case> CASES =
      List.of(
          new Case("low x0.8", List.of(0.4, 0.1, 0.1, 0.8)),
          new Case("low x1.5", List.of(0.4, 0.1, 0.1, 1.5)),
          new Case("low x3", List.of(0.4, 0.1, 0.1, 3.0)),
          new Case("low x10", List.of(0.4, 0.1, 0.1, 10.0)),
          new Case("urgent x3", List.of(3.0, 0.1, 0.1, 0.1)));

  @Override
  public void run(Options options, Report report) throws IOException {
    try (Load load = new Load();
        Mesh rankedMesh = new Mesh(options, Map.of(), "");
        Mesh baselineMesh = new Mesh(options, Map.of(), BASELINE_SETTINGS)) {
      startMesh(rankedMesh);
      startMesh(baselineMesh);
      Pause.millis(WARM_UP_MILLIS);
      // The warm-up is not reported, because new processes still load and compile classes.
      Report warmUp = new Report("warm-up");
      measure(options, warmUp, load, CASES.get(0), rankedMesh, "ranks");
      measure(options, warmUp, load, CASES.get(0), baselineMesh, "fifo+round-robin");
      for (Case floodCase : CASES) {
        measure(options, report, load, floodCase, rankedMesh, "ranks");
        measure(options, report, load, floodCase, baselineMesh, "fifo+round-robin");
      }
    }
  }

  private static void startMesh(Mesh mesh) throws IOException {
    mesh.startNodes(NODES);
    mesh.createOperator();
    mesh.submitAndApprove(Questionnaires.bookings(DEADLINE_MILLIS));
    mesh.startUpstreams(SLOTS, mesh.nodes());
  }

  private static void measure(
      Options options, Report report, Load load, Case floodCase, Mesh mesh, String variant) {
    double capacity = NODES * SLOTS * 1000.0 / options.serviceTimeMillis;
    List<StreamPlan> streams = new ArrayList<>();
    for (int rank = 0; rank < Questionnaires.RANKS.size(); rank++) {
      String name = Questionnaires.RANKS.get(rank);
      double rate = floodCase.relativeLoads().get(rank) * capacity / NODES;
      for (NodeProcess node : mesh.nodes()) {
        streams.add(
            Load.createStreamPlan(
                name + "-" + node.name(),
                node.callerPort(),
                name,
                rate,
                Duration.ofMillis(DEADLINE_MILLIS)));
      }
    }
    Load.Measured measured = load.run(options, CONNECTIONS_PER_NODE, streams);
    List<StreamResult> results = measured.result().streams();
    long answeredInTime = results.stream().mapToLong(StreamResult::inTime).sum();
    for (String rank : Questionnaires.RANKS) {
      List<StreamResult> rankResults = results.stream().filter(r -> r.rank().equals(rank)).toList();
      report.add(
          row(rankResults)
              .put("nodes", NODES)
              .put("case", floodCase.name())
              .put("variant", variant)
              .put(
                  "usefulOfCapacity",
                  answeredInTime / measured.result().measuredSeconds() / capacity)
              .put("generatorLateP99Millis", measured.latenessP99Millis())
              .put("generatorLateMaxMillis", measured.latenessMaxMillis()));
    }
  }

  /**
   * Sums the streams of one rank. Percentiles of several streams cannot be merged exactly, so the
   * row has the median of the p50 and the maximum of the p99.
   */
  private static Report.Row row(List<StreamResult> streams) {
    long intended = streams.stream().mapToLong(StreamResult::intended).sum();
    long inTime = streams.stream().mapToLong(StreamResult::inTime).sum();
    List<Double> p50 = streams.stream().map(s -> s.latency().p50Micros() / 1e3).toList();
    List<Double> p99 = streams.stream().map(s -> s.latency().p99Micros() / 1e3).toList();
    long failures =
        streams.stream().flatMap(s -> s.failures().values().stream()).mapToLong(n -> n).sum();
    long notSent =
        streams.stream().mapToLong(s -> s.failures().getOrDefault(Failure.NOT_SENT, 0L)).sum();
    return new Report.Row()
        .put("rank", streams.get(0).rank())
        .put("intended", intended)
        .put("inTimeShare", inTime / (double) Math.max(1, intended))
        .put("p50MillisMedianOfStreams", new Samples(p50).median())
        .put("p99MillisWorstStream", new Samples(p99).max())
        .put("notRun", streams.stream().mapToLong(StreamResult::notRun).sum())
        .put("unknown", streams.stream().mapToLong(StreamResult::unknown).sum())
        .put("failures", failures)
        .put("notSentByGenerator", notSent);
  }
}
