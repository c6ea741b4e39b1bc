package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.platform.ManagedPlatform;
import io.foxtaildoor.process.node.BoundPorts;
import io.foxtaildoor.process.node.Node;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.settings.NodeSettings;
import io.foxtaildoor.process.settings.NodeSettings.PlatformInterface;
import io.foxtaildoor.process.settings.Settings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** The {@code node} subcommand: runs a node until the process receives a termination signal. */
final class NodeCommand implements Command {
  @Option(
      name = "--settings",
      metaVar = "FILE",
      required = true,
      usage = "settings file of the node, in YAML")
  private String settingsFile;

  @Option(
      name = "--port-file",
      metaVar = "FILE",
      usage = "file to which the bound ports are written; needed when a port in the settings is 0")
  private String portFile;

  private final NodeSignals signals;

  NodeCommand(NodeSignals signals) {
    this.signals = signals;
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    // LogConfiguration reads this property when the first logger is created.
    System.setProperty(LogConfiguration.TARGET_PROPERTY, "System.out");
    byte[] content = OperatorCommand.readFile(settingsFile);
    Optional<Settings> settings = SettingsFiles.parse(settingsFile, content, err);
    if (settings.isEmpty()) {
      return Main.EXIT_USAGE;
    }
    LogLevels.setRootLevel(settings.get().get(NodeSettings.LOG_LEVEL));
    signals.termination().beginStart();
    Node node = new Node(settings.get(), platformAdapter(settings.get()));
    BoundPorts ports = node.start();
    signals.termination().endStart(node::stop);
    new SettingsReloader(Path.of(settingsFile), content, node, signals.hangUps()).start();
    if (portFile != null) {
      writePortFile(ports);
    }
    node.awaitStop();
    return Main.EXIT_SUCCESS;
  }

  private static Optional<PlatformAdapter> platformAdapter(Settings settings) {
    return settings.get(NodeSettings.PLATFORM_INTERFACE) == PlatformInterface.MANAGED
        ? Optional.of(new ManagedPlatform())
        : Optional.empty();
  }

  /** Writes the port file atomically, so that a reader never sees a partial file. */
  private void writePortFile(BoundPorts ports) {
    Path target = Path.of(portFile);
    Path temporary = Path.of(portFile + ".tmp");
    String text =
        "caller=%d%npeer=%d%noperator=%d%n"
            .formatted(ports.caller(), ports.peer(), ports.operator());
    try {
      Files.writeString(temporary, text);
      Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "port file " + portFile + " cannot be written", e);
    }
  }
}
