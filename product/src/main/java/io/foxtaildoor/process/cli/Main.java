package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;

/** Entry point of the {@code foxtaildoor} program. */
public final class Main {
  /** Exit code of a successful command. */
  public static final int EXIT_SUCCESS = 0;

  /** Exit code of a command that failed. */
  public static final int EXIT_FAILURE = 1;

  /** Exit code for invalid arguments or invalid input. */
  public static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the subcommand that the arguments name and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    CommandLine line = new CommandLine();
    try {
      return line.parse(args).run(out, err);
    } catch (CmdLineException e) {
      err.println("foxtaildoor: " + e.getMessage());
      err.println("Try 'foxtaildoor --help'.");
      return EXIT_USAGE;
    } catch (FoxtaildoorException e) {
      err.println("foxtaildoor: " + e.getMessage());
      return e.kind().exitCode();
    } catch (RuntimeException e) {
      err.println("foxtaildoor: " + ErrorKind.INTERNAL.headerValue() + ": " + e);
      return EXIT_FAILURE;
    }
  }
}
