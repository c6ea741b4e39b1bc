package io.foxtaildoor.experiments;

import java.io.IOException;

/** An experiment, which starts and stops the processes that it measures. */
@FunctionalInterface
interface Experiment {
  /** Runs the whole experiment and adds a row to the report for each measured case. */
  void run(Options options, Report report) throws IOException;
}
