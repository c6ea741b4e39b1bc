package io.foxtaildoor.experiments;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command line of all experiments. */
final class Options {
  @Argument(metaVar = "NAME", required = true, usage = "experiment to run")
  String name;

  @Option(name = "--standins", required = true, usage = "jar of the stand-ins")
  Path standins;

  @Option(name = "--binary", usage = "binary of the product")
  Path binary = Path.of("target/foxtaildoor");

  @Option(name = "--product-jar", usage = "jar with the libraries of the stand-ins")
  Path productJar = Path.of("product/target/foxtaildoor.jar");

  @Option(name = "--output", usage = "directory of the JSON reports")
  Path output = Path.of("target/experiments");

  @Option(name = "--max-nodes", usage = "largest number of nodes, up to 100")
  int maxNodes = 100;

  @Option(name = "--repetitions", usage = "repetitions of each case, 1 to 100")
  int repetitions = 5;

  @Option(name = "--seconds", usage = "measured seconds of each case, 1 to 600")
  int seconds = 10;

  @Option(name = "--service-time", usage = "mean service time of an upstream in milliseconds")
  int serviceTimeMillis = 20;

  @Option(name = "--seed", usage = "seed of arrival times and service times")
  long seed = 1;

  /** Checks the ranges, so that every loop is bounded. */
  void validate() {
    require(maxNodes >= 1 && maxNodes <= 100, "--max-nodes must be 1 to 100");
    require(repetitions >= 1 && repetitions <= 100, "--repetitions must be 1 to 100");
    require(seconds >= 1 && seconds <= 600, "--seconds must be 1 to 600");
    require(serviceTimeMillis >= 1, "--service-time must be positive");
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new IllegalArgumentException(message);
    }
  }
}
