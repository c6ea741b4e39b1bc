package io.foxtaildoor.experiments;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures the processor time of a young node on the managed platform, by kind of thread: until it
 * listens, while it is idle, and for its first requests, to its own upstream and through a link to
 * another node. With {@code --baseline} it measures a second build in the same run.
 */
final class ColdExperiment implements Experiment {
  private static final int FIRST_REQUESTS = 150;
  private static final int NEXT_REQUESTS = 850;
  private static final String SERVICE = "bookings";
  private static final String OTHER_SERVICE = "inventory";
  private static final String PATH = "/lookup/table";

  private final List<String> modes = List.of("default", "-Xint");

  @Override
  public void run(Options options, Report report) throws IOException {
    List<Build> builds = new ArrayList<>();
    if (options.baseline != null) {
      builds.add(new Build("baseline", options.baseline.toAbsolutePath()));
    }
    builds.add(new Build("current", Path.of("").toAbsolutePath()));
    for (int i = 0; i < options.repetitions; i++) {
      for (String mode : modes) {
        for (Build build : builds) {
          new Measurement(options, report, build, mode).run();
        }
      }
    }
  }

  private record Build(String name, Path checkout) {}

  /** One node that starts, idles and serves requests, with a second node behind a link. */
  private static final class Measurement {
    private final Options options;
    private final Report report;
    private final Build build;
    private final String mode;

    Measurement(Options options, Report report, Build build, String mode) {
      this.options = options;
      this.report = report;
      this.build = build;
      this.mode = mode;
    }

    void run() throws IOException {
      List<String> flags = mode.startsWith("-") ? List.of(mode) : List.of();
      try (ManagedMesh mesh = new ManagedMesh(options, build.checkout(), flags)) {
        ManagedMesh.ManagedNode local = mesh.startNode(SERVICE);
        ThreadTimes listening = ThreadTimes.of(local.pid());
        addRow("until listening", listening, 0);
        Pause.millis(Duration.ofSeconds(options.seconds).toMillis());
        ThreadTimes idle = ThreadTimes.of(local.pid());
        addRow("idle " + options.seconds + " s", idle.minus(listening), 0);
        measureRequests("local", local, List.of(local));
        ManagedMesh.ManagedNode remote = mesh.startNode(OTHER_SERVICE);
        measureRequests("through a link", remote, List.of(remote, local));
      }
    }

    /** Sends requests to one node and adds up the processor time of all nodes on their path. */
    private void measureRequests(
        String path, ManagedMesh.ManagedNode target, List<ManagedMesh.ManagedNode> nodes)
        throws IOException {
      try (KeptConnection connection = new KeptConnection(target.callerPort())) {
        connection.awaitServed(PATH);
        for (int count : List.of(FIRST_REQUESTS, NEXT_REQUESTS)) {
          ThreadTimes before = sum(nodes);
          for (int i = 0; i < count; i++) {
            connection.send(PATH);
          }
          String phase = (count == FIRST_REQUESTS ? "first " : "next ") + count + ", " + path;
          addRow(phase, sum(nodes).minus(before), count);
        }
      }
    }

    private static ThreadTimes sum(List<ManagedMesh.ManagedNode> nodes) throws IOException {
      ThreadTimes sum = ThreadTimes.ZERO;
      for (ManagedMesh.ManagedNode node : nodes) {
        sum = sum.plus(ThreadTimes.of(node.pid()));
      }
      return sum;
    }

    private void addRow(String phase, ThreadTimes times, int requests) {
      Report.Row row =
          new Report.Row().put("phase", phase).put("mode", mode).put("build", build.name());
      for (Map.Entry<String, Double> entry : times.millisByKind().entrySet()) {
        row.put(entry.getKey() + "Millis", entry.getValue());
      }
      row.put("totalMillis", times.totalMillis());
      if (requests > 0) {
        row.put("millisPerRequest", times.totalMillis() / requests);
      }
      report.add(row);
    }
  }
}
