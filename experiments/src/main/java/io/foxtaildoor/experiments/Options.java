package io.foxtaildoor.experiments;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command-line options, common to all experiments. */
final class Options {
  @Argument(metaVar = "NAME", required = true, usage = "name of the experiment to run")
  String name;

  @Option(name = "--standins", required = true, usage = "jar file of the stand-ins")
  Path standins;

  @Option(name = "--binary", usage = "executable of the product")
  Path binary = Path.of("target/foxtaildoor");

  @Option(
      name = "--product-jar",
      usage = "jar file of the product, which contains the libraries that the stand-ins need")
  Path productJar = Path.of("product/target/foxtaildoor.jar");

  @Option(name = "--output", usage = "directory to which the JSON report is written")
  Path output = Path.of("target/experiments");

  @Option(name = "--baseline", usage = "checkout of another build to measure beside this one")
  Path baseline;

  @Option(name = "--max-nodes", usage = "largest number of nodes, up to 100")
  int maxNodes = 100;

  @Option(name = "--repetitions", usage = "number of repetitions of each case, 1 to 100")
  int repetitions = 5;

  @Option(name = "--seconds", usage = "measured time of each case in seconds, 1 to 600")
  int seconds = 10;

  @Option(name = "--service-time", usage = "mean service time of an upstream in milliseconds")
  int serviceTimeMillis = 20;

  @Option(name = "--seed", usage = "random seed of arrival times and service times")
  long seed = 1;

  /**
   * Checks the ranges of the options, which bound every loop of the experiments.
   *
   * @throws IllegalArgumentException when an option is out of range
   */
  void validate() {
    require(maxNodes >= 1 && maxNodes <= 100, "--max-nodes must be 1 to 100");
    require(repetitions >= 1 && repetitions <= 100, "--repetitions must be 1 to 100");
    require(seconds >= 1 && seconds <= 600, "--seconds must be 1 to 600");
    require(serviceTimeMillis >= 1, "--service-time must be positive");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
