package io.foxtaildoor.process.cli;

import java.io.PrintStream;

/** A subcommand whose options have been parsed. */
interface Command {
  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws io.foxtaildoor.common.FoxtaildoorException if the command fails; its kind determines
   *     the exit code
   */
  int run(PrintStream out, PrintStream err);
}
