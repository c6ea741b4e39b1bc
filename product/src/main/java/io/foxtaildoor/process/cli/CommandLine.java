package io.foxtaildoor.process.cli;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Selects the subcommand by the first one or two arguments and parses its options with args4j. */
final class CommandLine {
  private static final int USAGE_WIDTH = 100;

  private final Map<String, Subcommand> subcommands = new LinkedHashMap<>();

  private record Subcommand(String summary, Supplier<Command> factory) {}

  CommandLine(NodeSignals signals) {
    add(Main.NODE_COMMAND, "run a node", () -> new NodeCommand(signals));
    add("check", "validate a settings file", CheckCommand::new);
    add("questionnaire check", "validate a questionnaire", QuestionnaireCommands.Check::new);
    add(
        "questionnaire submit",
        "submit a team's first questionnaire",
        QuestionnaireCommands.Submit::new);
    add("questionnaire amend", "replace a questionnaire", QuestionnaireCommands.Amend::new);
    add("questionnaire show", "show a questionnaire", QuestionnaireCommands.Show::new);
    add(
        "questionnaire history",
        "list the revisions of a questionnaire",
        QuestionnaireCommands.History::new);
    add("config show", "show the configuration in force", ConfigCommands.Show::new);
    add("config diff", "show what an approval would change", ConfigCommands.Diff::new);
    add("config approve", "approve a reviewed proposal", ConfigCommands.Approve::new);
    add("config status", "show the version that each node holds", ConfigCommands.Status::new);
    add("audit", "show the audit trail", AuditCommand::new);
    add("operator create", "create an operator on the platform", OperatorCreateCommand::new);
    add("load", "run a load test and report its results", LoadCommand::new);
    add("request", "send one request through a node", RequestCommand::new);
  }

  private void add(String words, String summary, Supplier<Command> factory) {
    subcommands.put(words, new Subcommand(summary, factory));
  }

  /**
   * Parses the arguments and returns the command to run.
   *
   * @throws CmdLineException if the command is unknown or its options are invalid
   */
  Command parse(String[] args) throws CmdLineException {
    List<String> words = Arrays.asList(args);
    if (words.isEmpty() || words.get(0).equals("--help") || words.get(0).equals("-h")) {
      return (out, err) -> printOverview(out);
    }
    if (words.get(0).equals("--version")) {
      return (out, err) -> {
        out.println("foxtaildoor " + version());
        return Main.EXIT_SUCCESS;
      };
    }
    for (int count = Math.min(2, words.size()); count > 0; count--) {
      String name = String.join(" ", words.subList(0, count));
      Subcommand subcommand = subcommands.get(name);
      if (subcommand != null) {
        return parseOptions(name, subcommand, words.subList(count, words.size()));
      }
    }
    throw new CmdLineException(
        new CmdLineParser(new Object()), "unknown command \"" + words.get(0) + "\"", null);
  }

  private static Command parseOptions(String name, Subcommand subcommand, List<String> options)
      throws CmdLineException {
    Command command = subcommand.factory().get();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (options.contains("--help") || options.contains("-h")) {
      return (out, err) -> {
        out.println("Usage: foxtaildoor " + name + " [options]: " + subcommand.summary());
        parser.printUsage(out);
        return Main.EXIT_SUCCESS;
      };
    }
    parser.parseArgument(options);
    return command;
  }

  private int printOverview(java.io.PrintStream out) {
    out.println("Usage: foxtaildoor COMMAND [options]");
    subcommands.forEach(
        (name, subcommand) -> out.printf("  %-24s %s%n", name, subcommand.summary()));
    out.println("  --version                print the version");
    out.println("'foxtaildoor COMMAND --help' lists the options of a command.");
    return Main.EXIT_SUCCESS;
  }

  static String version() {
    String version = CommandLine.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}
