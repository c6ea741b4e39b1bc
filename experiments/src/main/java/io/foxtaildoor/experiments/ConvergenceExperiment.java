package io.foxtaildoor.experiments;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Measures the time from the answer to an approval until every node reports the new version. */
final class ConvergenceExperiment implements Experiment {
  private static final int[] NODE_COUNTS = {10, 25, 50, 100};
  private static final String CLEAR_FAULTS = "{\"down\":\"none\",\"slowMillis\":0}";
  private static final String RESET_COUNTERS = "{\"resetCounters\":true}";

  /** Exceeds the longest random delay of a node's first background call to the platform. */
  private static final long START_DELAY_MILLIS = 7_000;

  private int nextDeadlineMillis = 500;

  /** Disturbance around the approval of a change. */
  private enum Variant {
    AT_REST,
    THIRD_RESTARTED,
    PLATFORM_DOWN,
    PLATFORM_SLOW
  }

  @Override
  public void run(Options options, Report report) throws IOException {
    for (int count : NODE_COUNTS) {
      if (count > options.maxNodes) {
        return;
      }
      try (Mesh mesh = new Mesh(options, Map.of(), "")) {
        mesh.startNodes(count);
        mesh.createOperator();
        applyChange(mesh, Variant.AT_REST);
        Pause.millis(START_DELAY_MILLIS);
        report.add(measureWithoutChange(mesh, options));
        for (Variant variant : Variant.values()) {
          report.add(measureChanges(mesh, variant, options.repetitions));
        }
      }
    }
  }

  private static Report.Row measureWithoutChange(Mesh mesh, Options options) {
    mesh.controlPlatform(RESET_COUNTERS);
    Pause.millis(Duration.ofSeconds(options.seconds).toMillis());
    JsonNode calls = mesh.controlPlatform("{}").path("calls");
    return new Report.Row()
        .put("nodes", mesh.nodes().size())
        .put("variant", "NO_CHANGE")
        .put("repetitions", 1)
        .put("platformCalls", calls.toString() + " in " + options.seconds + " s")
        .put("residentMegabytes", mesh.residentKilobytes() / 1024);
  }

  private Report.Row measureChanges(Mesh mesh, Variant variant, int repetitions)
      throws IOException {
    List<Double> slowestMillis = new ArrayList<>();
    List<Double> medianMillis = new ArrayList<>();
    List<Double> pollGapMillis = new ArrayList<>();
    mesh.controlPlatform(RESET_COUNTERS);
    for (int i = 0; i < repetitions; i++) {
      List<VersionPoll.Seen> seen = applyChange(mesh, variant);
      Samples times = new Samples(seen.stream().map(VersionPoll.Seen::millis).toList());
      slowestMillis.add(times.max());
      medianMillis.add(times.median());
      pollGapMillis.add(new Samples(seen.stream().map(VersionPoll.Seen::gapMillis).toList()).max());
    }
    JsonNode calls = mesh.controlPlatform("{}").path("calls");
    return new Report.Row()
        .put("nodes", mesh.nodes().size())
        .put("variant", variant.name())
        .put("repetitions", repetitions)
        .put("allNodesMedianMillis", new Samples(slowestMillis).median())
        .put("allNodesWorstMillis", new Samples(slowestMillis).max())
        .put("halfOfNodesMedianMillis", new Samples(medianMillis).median())
        .put("largestPollGapMillis", new Samples(pollGapMillis).max())
        .put("platformCalls", calls.toString());
  }

  /** Submits and approves one change and waits until all nodes report its version. */
  private List<VersionPoll.Seen> applyChange(Mesh mesh, Variant variant) throws IOException {
    if (variant == Variant.PLATFORM_SLOW) {
      mesh.controlPlatform("{\"slowMillis\":500}");
    }
    Mesh.Proposal proposal = mesh.submit(Questionnaires.bookings(nextDeadlineMillis++));
    if (variant == Variant.THIRD_RESTARTED) {
      // The approval is sent to the first node, so the first node is never killed.
      mesh.restart(
          IntStream.range(0, mesh.nodes().size()).filter(i -> i % 3 == 1).boxed().toList());
    }
    long version = mesh.approve(proposal);
    long approvalAnsweredNanos = System.nanoTime();
    if (variant == Variant.PLATFORM_DOWN) {
      mesh.controlPlatform("{\"down\":\"refused\"}");
    }
    List<Integer> ports = mesh.nodes().stream().map(NodeProcess::operatorPort).toList();
    List<VersionPoll.Seen> seen =
        VersionPoll.await(mesh.http(), ports, version, approvalAnsweredNanos);
    mesh.controlPlatform(CLEAR_FAULTS);
    return seen;
  }
}
