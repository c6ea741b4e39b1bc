package io.foxtaildoor.experiments;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A process that an experiment started. Its output goes to a log file; it may write a port file.
 */
final class ChildProcess {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 5;

  private final Process process;
  private final Path portFile;

  private ChildProcess(Process process, Path portFile) {
    this.process = process;
    this.portFile = portFile;
  }

  /** Starts a process. A port file that an earlier process left is removed first. */
  static ChildProcess start(
      List<String> command, Map<String, String> environment, Path log, Path portFile)
      throws IOException {
    return start(command, environment, log, portFile, Path.of("").toAbsolutePath());
  }

  /** Starts a process in a working directory. */
  static ChildProcess start(
      List<String> command,
      Map<String, String> environment,
      Path log,
      Path portFile,
      Path workingDirectory)
      throws IOException {
    Files.deleteIfExists(portFile);
    ProcessBuilder builder = new ProcessBuilder(command).directory(workingDirectory.toFile());
    builder.environment().putAll(environment);
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    return new ChildProcess(builder.start(), portFile);
  }

  long pid() {
    return process.pid();
  }

  /**
   * Waits for the port file and returns its lines.
   *
   * @throws IllegalStateException when the process ends or 60 s pass before the file is written
   */
  List<String> awaitPorts() {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() - deadlineNanos < 0 && process.isAlive()) {
      try {
        if (Files.exists(portFile) && Files.size(portFile) > 0) {
          return Files.readAllLines(portFile);
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      Pause.millis(POLL_MILLIS);
    }
    throw new IllegalStateException(
        "the process did not write its port file " + portFile.getFileName());
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL and waits until the process ends, for up to 10 s. */
  void kill() {
    process.destroyForcibly();
    awaitEnd(Duration.ofSeconds(10));
  }

  /** Waits until the process ends; returns false when it still runs after the time limit. */
  boolean awaitEnd(Duration timeout) {
    try {
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the resident memory in kilobytes; 0 when the process has ended. */
  long residentKilobytes() {
    return ProcFiles.residentKilobytes(pid());
  }
}
