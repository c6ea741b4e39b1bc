package io.foxtaildoor.process.cli;

import io.foxtaildoor.process.settings.NodeSettings;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** The {@code check} subcommand: validates a settings file without starting a node. */
final class CheckCommand implements Command {
  @Option(
      name = "--settings",
      metaVar = "FILE",
      usage = "settings file of a node, in YAML",
      forbids = "--reference")
  private String settings;

  @Option(name = "--reference", usage = "print the reference page of all settings")
  private boolean reference;

  @Override
  public int run(PrintStream out, PrintStream err) {
    if (reference) {
      out.print(NodeSettings.referencePage());
      return Main.EXIT_SUCCESS;
    }
    if (settings == null) {
      err.println("foxtaildoor: option --settings is required");
      return Main.EXIT_USAGE;
    }
    if (SettingsFiles.read(settings, err).isEmpty()) {
      return Main.EXIT_USAGE;
    }
    out.println("valid");
    return Main.EXIT_SUCCESS;
  }
}
