package io.foxtaildoor.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** What the processes of all stand-ins share: options, port file and graceful stop. */
public final class StandInProcess {
  private static final int BAD_USAGE = 2;

  private StandInProcess() {}

  /** Parses a command line into options; exits with code 2 after bad usage. */
  public static <T> T parse(T options, String[] args) {
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(BAD_USAGE);
    }
    return options;
  }

  /**
   * Writes the port file under another name first, so that a reader never sees a part of it.
   *
   * @param file does nothing when null
   */
  public static void writePortFile(Path file, String ports) throws IOException {
    if (file == null) {
      return;
    }
    Path path = file.toAbsolutePath();
    Path temporary = path.resolveSibling(path.getFileName() + ".tmp");
    Files.writeString(temporary, ports);
    Files.move(
        temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Stops gracefully at SIGTERM and ends with exit code 0, which a signal alone would not give. */
  public static void stopOnSignal(Runnable stop) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stop.run();
                  Runtime.getRuntime().halt(0);
                },
                "stop"));
  }
}
