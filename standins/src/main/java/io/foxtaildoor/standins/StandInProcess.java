package io.foxtaildoor.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Common parts of the stand-in processes: command line, port file and graceful stop. */
public final class StandInProcess {
  private static final int BAD_USAGE_EXIT_CODE = 2;

  private StandInProcess() {}

  /**
   * Parses the command line into the options object. When the arguments are invalid, prints the
   * usage to standard error and exits with code 2.
   */
  public static <T> T parse(T options, String[] args) {
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(BAD_USAGE_EXIT_CODE);
    }
    return options;
  }

  /**
   * Writes the port file. The content goes to a temporary file that is then renamed, so that a
   * reader never sees an incomplete file.
   *
   * @param file port file; when null, nothing is written
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

  /**
   * Runs an action on SIGTERM and then ends the process with exit code 0. Without this, the JVM
   * would report the signal in its exit code.
   */
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
