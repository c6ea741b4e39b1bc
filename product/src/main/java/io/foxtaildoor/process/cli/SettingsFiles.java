package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.yaml.DocumentProblem;
import io.foxtaildoor.process.settings.NodeSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.process.settings.SettingsReader;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads settings files for subcommands. */
final class SettingsFiles {
  private SettingsFiles() {}

  /**
   * Reads a node's settings. Prints every problem with its line and path; returns empty if there
   * are any.
   */
  static Optional<Settings> read(String file, PrintStream err) {
    return parse(file, OperatorCommand.readFile(file), err);
  }

  /** Like {@link #read}, for the content of a file that has been read. */
  static Optional<Settings> parse(String file, byte[] content, PrintStream err) {
    List<DocumentProblem> problems = new ArrayList<>();
    Optional<Settings> settings = SettingsReader.read(content, NodeSettings.ALL, problems);
    problems.forEach(
        problem ->
            err.printf("%s:%d: %s: %s%n", file, problem.line(), problem.path(), problem.message()));
    return settings;
  }
}
