package io.foxtaildoor.experiments;

import java.io.IOException;

/** One measurement, which starts and stops its own processes. */
@FunctionalInterface
interface Experiment {
  /** Runs to the end and adds a row for each measured case. */
  void run(Options options, Report report) throws IOException;
}
