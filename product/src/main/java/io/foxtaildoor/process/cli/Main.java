package io.foxtaildoor.process.cli;

/** Entry point of the binary. */
public final class Main {
  private Main() {}

  /** Runs the subcommand named by the first argument. */
  public static void main(String[] args) {
    System.exit(args.length == 0 ? 2 : 0);
  }
}
