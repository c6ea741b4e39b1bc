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

  static final String NODE_COMMAND = "node";

  private Main() {}

  /** Runs the subcommand that the arguments name and exits with its exit code. */
  public static void main(String[] args) {
    NodeSignals signals = new NodeSignals();
    if (args.length > 0 && args[0].equals(NODE_COMMAND)) {
      // Before classes of other packages are loaded, because an earlier signal ends the process.
      signals.install();
    }
    int code = EXIT_FAILURE;
    try {
      code = run(args, System.out, System.err, signals);
    } finally {
      signals.termination().remove();
    }
    System.exit(code);
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    return run(args, out, err, new NodeSignals());
  }

  private static int run(String[] args, PrintStream out, PrintStream err, NodeSignals signals) {
    CommandLine line = new CommandLine(signals);
    try {
      return line.parse(args).run(out, err);
    } catch (CmdLineException e) {
      err.println("foxtaildoor: " + e.getMessage());
      err.println("Try 'foxtaildoor --help'.");
      return EXIT_USAGE;
    } catch (FoxtaildoorException e) {
      err.println("foxtaildoor: " + e.getMessage());
      return e.kind().exitCode();
    } catch (Exception e) {
      // Netty also throws checked exceptions undeclared, such as BindException.
      err.println("foxtaildoor: " + ErrorKind.INTERNAL.headerValue() + ": " + e);
      return EXIT_FAILURE;
    }
  }
}
