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
  private static final String NO_FAULT = "{\"down\":\"none\",\"slowMillis\":0}";
  private static final String RESET = "{\"resetCounters\":true}";

  /** Exceeds the longest random delay of a node's first background call to the platform. */
  private static final long SETTLE_MILLIS = 7_000;

  private int deadlineMillis = 500;

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
        change(mesh, Variant.AT_REST);
        Pause.millis(SETTLE_MILLIS);
        report.add(rest(mesh, options));
        for (Variant variant : Variant.values()) {
          report.add(repeat(mesh, variant, options.repetitions));
        }
      }
    }
  }

  private static Report.Row rest(Mesh mesh, Options options) {
    mesh.platform(RESET);
    Pause.millis(Duration.ofSeconds(options.seconds).toMillis());
    JsonNode calls = mesh.platform("{}").path("calls");
    return new Report.Row()
        .put("nodes", mesh.nodes().size())
        .put("variant", "NO_CHANGE")
        .put("repetitions", 1)
        .put("platformCalls", calls.toString() + " in " + options.seconds + " s")
        .put("residentMegabytes", mesh.residentKilobytes() / 1024);
  }

  private Report.Row repeat(Mesh mesh, Variant variant, int repetitions) throws IOException {
    List<Double> worst = new ArrayList<>();
    List<Double> medians = new ArrayList<>();
    List<Double> gaps = new ArrayList<>();
    mesh.platform(RESET);
    for (int i = 0; i < repetitions; i++) {
      List<VersionPoll.Seen> seen = change(mesh, variant);
      Samples times = new Samples(seen.stream().map(VersionPoll.Seen::millis).toList());
      worst.add(times.max());
      medians.add(times.median());
      gaps.add(new Samples(seen.stream().map(VersionPoll.Seen::gapMillis).toList()).max());
    }
    JsonNode calls = mesh.platform("{}").path("calls");
    return new Report.Row()
        .put("nodes", mesh.nodes().size())
        .put("variant", variant.name())
        .put("repetitions", repetitions)
        .put("allNodesMedianMillis", new Samples(worst).median())
        .put("allNodesWorstMillis", new Samples(worst).max())
        .put("halfOfNodesMedianMillis", new Samples(medians).median())
        .put("largestPollGapMillis", new Samples(gaps).max())
        .put("platformCalls", calls.toString());
  }

  /** Submits and approves one change and waits until all nodes report its version. */
  private List<VersionPoll.Seen> change(Mesh mesh, Variant variant) throws IOException {
    if (variant == Variant.PLATFORM_SLOW) {
      mesh.platform("{\"slowMillis\":500}");
    }
    Mesh.Proposal proposal = mesh.submit(Questionnaires.bookings(deadlineMillis++));
    if (variant == Variant.THIRD_RESTARTED) {
      // The approval is sent to the first node, so the first node is never killed.
      mesh.restart(
          IntStream.range(0, mesh.nodes().size()).filter(i -> i % 3 == 1).boxed().toList());
    }
    long version = mesh.approve(proposal);
    long answered = System.nanoTime();
    if (variant == Variant.PLATFORM_DOWN) {
      mesh.platform("{\"down\":\"refused\"}");
    }
    List<Integer> ports = mesh.nodes().stream().map(NodeProcess::operator).toList();
    List<VersionPoll.Seen> seen = VersionPoll.await(mesh.http(), ports, version, answered);
    mesh.platform(NO_FAULT);
    return seen;
  }
}
