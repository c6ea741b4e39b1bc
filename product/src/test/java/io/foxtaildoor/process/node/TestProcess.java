package io.foxtaildoor.process.node;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An operating system process that a test has started, with its output in a log file. */
final class TestProcess {
  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final String name;
  private final Path log;
  private final Process process;

  private TestProcess(String name, Path log, Process process) {
    this.name = name;
    this.log = log;
    this.process = process;
  }

  static TestProcess start(Path directory, String name, List<String> command) {
    Path log = directory.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("JAVA", java());
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      return new TestProcess(name, log, builder.start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String java() {
    return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
  }

  /**
   * Waits for the file that the process writes when it listens, and returns the lines of the file.
   */
  List<String> awaitFile(Path file) {
    Polling.await(
        "port file of " + name,
        () -> {
          if (!process.isAlive()) {
            throw new AssertionError(
                name + " exited with code " + process.exitValue() + ": " + log());
          }
          return Files.exists(file);
        });
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String log() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL. */
  void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Ends the process with SIGTERM and returns its exit code. */
  int terminate() {
    process.destroy();
    return awaitExit();
  }

  /** Suspends the process with SIGSTOP. */
  void pause() {
    signal("-STOP");
  }

  /** Resumes the process with SIGCONT. */
  void resume() {
    signal("-CONT");
  }

  /** Sends SIGHUP. */
  void sendHangUp() {
    signal("-HUP");
  }

  private void signal(String signal) {
    try {
      int code = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
      if (code != 0) {
        throw new AssertionError("kill " + signal + " of " + name + " exited with code " + code);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private int awaitExit() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not exit: " + log());
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
