package io.foxtaildoor.experiments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures memory, processor time and start-up time of a node with several sets of JVM flags. */
final class CostExperiment implements Experiment {
  private static final String JAVA_OPTIONS_VARIABLE = "FOXTAILDOOR_JAVA_OPTS";

  /** JVM flags of the launcher; each variant appends its own flags to them. */
  private static final String LAUNCHER_FLAGS =
      "-XX:+UseSerialGC -Xmx40m -Xss512k -XX:TieredStopAtLevel=1"
          + " -XX:ReservedCodeCacheSize=24m -XX:+ExitOnOutOfMemoryError";

  private static final int SLOTS = 9;
  private static final int CONNECTIONS = 110;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final double CALLS_PER_SECOND = 100;

  /** Waiting time for the first announcement, which an upstream sends as soon as it listens. */
  private static final long ANNOUNCEMENT_WAIT_MILLIS = 2_000;

  @Override
  public void run(Options options, Report report) throws IOException {
    Path archive = Files.createTempDirectory("foxtaildoor-archive").resolve("node.jsa");
    try (Load load = new Load()) {
      measure(options, report, load, "launcher", Map.of());
      try (Mesh recordingMesh = createMesh(options, "-XX:ArchiveClassesAtExit=" + archive)) {
        // With one request, the archive also contains the classes of the request path.
        firstRequestMillis(recordingMesh);
      }
      for (Map.Entry<String, String> variant : flagsByVariant(archive).entrySet()) {
        Map<String, String> environment =
            Map.of(JAVA_OPTIONS_VARIABLE, LAUNCHER_FLAGS + " " + variant.getValue());
        measure(options, report, load, variant.getKey(), environment);
      }
    } finally {
      Files.deleteIfExists(archive);
      Files.deleteIfExists(archive.getParent());
    }
  }

  private static Map<String, String> flagsByVariant(Path archive) {
    Map<String, String> variants = new LinkedHashMap<>();
    variants.put("class-data archive", "-XX:SharedArchiveFile=" + archive);
    variants.put("heap of 24 MB", "-Xmx24m");
    return variants;
  }

  private static Mesh createMesh(Options options, String flags) throws IOException {
    return new Mesh(options, Map.of(JAVA_OPTIONS_VARIABLE, LAUNCHER_FLAGS + " " + flags), "");
  }

  private static void measure(
      Options options, Report report, Load load, String variant, Map<String, String> environment)
      throws IOException {
    try (Mesh mesh = new Mesh(options, environment, "")) {
      double firstRequest = firstRequestMillis(mesh);
      NodeProcess node = mesh.nodes().get(0);
      long pid = node.process().pid();
      long processorMillisBeforeIdle = ProcFiles.processorMillis(pid);
      Pause.millis(Duration.ofSeconds(options.seconds).toMillis());
      double idleCorePercent =
          corePercent(ProcFiles.processorMillis(pid) - processorMillisBeforeIdle, options.seconds);
      long idleResidentKilobytes = ProcFiles.residentKilobytes(pid);
      long processorMillisBeforeLoad = ProcFiles.processorMillis(pid);
      long startNanos = System.nanoTime();
      load.run(
          options,
          CONNECTIONS,
          List.of(
              Load.createStreamPlan(
                  "calls",
                  node.callerPort(),
                  "URGENT",
                  CALLS_PER_SECOND,
                  Duration.ofMillis(DEADLINE_MILLIS))));
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      report.add(
          new Report.Row()
              .put("nodes", mesh.nodes().size())
              .put("variant", variant)
              .put("listeningMillis", node.listeningMillis())
              .put("firstRequestMillis", firstRequest)
              .put("idleCorePercent", idleCorePercent)
              .put("idleResidentKilobytes", idleResidentKilobytes)
              .put(
                  "loadedCorePercent",
                  corePercent(ProcFiles.processorMillis(pid) - processorMillisBeforeLoad, seconds))
              .put("loadedResidentKilobytes", ProcFiles.residentKilobytes(pid)));
    }
  }

  /** Starts one node with an upstream and returns the duration of its first request. */
  private static double firstRequestMillis(Mesh mesh) throws IOException {
    mesh.startNodes(1);
    mesh.createOperator();
    mesh.submitAndApprove(Questionnaires.bookings(DEADLINE_MILLIS));
    mesh.startUpstreams(SLOTS, mesh.nodes());
    NodeProcess node = mesh.nodes().get(0);
    Pause.millis(ANNOUNCEMENT_WAIT_MILLIS);
    long startNanos = System.nanoTime();
    Http.sendOnPlainSocket(node.callerPort(), "bookings.pamoja", "/urgent/table");
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private static double corePercent(long processorMillis, double seconds) {
    return processorMillis / (seconds * 10);
  }
}
