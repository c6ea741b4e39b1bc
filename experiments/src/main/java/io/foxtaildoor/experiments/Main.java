package io.foxtaildoor.experiments;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Runs one experiment by name. */
public final class Main {
  private static final Map<String, Experiment> EXPERIMENTS =
      new TreeMap<>(
          Map.of(
              "added-latency", new AddedLatencyExperiment(),
              "cold", new ColdExperiment(),
              "convergence", new ConvergenceExperiment(),
              "fleet", new FleetExperiment(),
              "cost", new CostExperiment(),
              "ranks", new RanksExperiment(),
              "restart", new RestartExperiment()));

  private Main() {}

  /**
   * Runs the experiment named on the command line; exits with code 2 when arguments are invalid.
   */
  public static void main(String[] args) throws IOException {
    Options options = new Options();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      options.validate();
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println("experiment: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    Experiment experiment = EXPERIMENTS.get(options.name);
    if (experiment == null) {
      System.err.println("experiment: NAME must be one of " + EXPERIMENTS.keySet());
      System.exit(2);
    }
    Report report = new Report(options.name);
    try {
      experiment.run(options, report);
    } finally {
      report.write(options.output, System.out);
    }
  }
}
