package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.yaml.DocumentProblem;
import io.foxtaildoor.process.node.Node;
import io.foxtaildoor.process.settings.NodeSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.process.settings.SettingsReader;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reloads the settings of a running node on SIGHUP and when the file changes. A file that cannot be
 * read or is invalid changes nothing.
 */
final class SettingsReloader {
  private static final Logger LOGGER = System.getLogger(SettingsReloader.class.getName());

  /**
   * Poll interval in seconds, and so the maximum delay until a file change is noticed without a
   * signal. Frequent polling is cheap because the file is small.
   */
  private static final long POLL_INTERVAL_SECONDS = 5;

  private final Path file;
  private final Node node;
  private final HangUpSignals signals;
  private byte[] lastContent;

  /**
   * Creates a reloader without starting it.
   *
   * @param initialContent content of the file that the node was started with; the file may have
   *     changed since
   */
  SettingsReloader(Path file, byte[] initialContent, Node node, HangUpSignals signals) {
    this.file = file;
    this.lastContent = initialContent;
    this.node = node;
    this.signals = signals;
  }

  /** Starts to wait for signals and to poll the file. */
  void start() {
    signals
        .failure()
        .ifPresent(
            cause ->
                LOGGER.log(
                    Level.WARNING,
                    "no handler for SIGHUP could be installed; the signal will end the process",
                    cause));
    Thread thread = new Thread(this::watch, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        reloadIfChanged(signals.await(POLL_INTERVAL_SECONDS, TimeUnit.SECONDS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reloadIfChanged(boolean signalled) {
    Optional<byte[]> content = readContent();
    if (content.isEmpty() || (!signalled && Arrays.equals(content.get(), lastContent))) {
      return;
    }
    lastContent = content.get();
    List<DocumentProblem> problems = new ArrayList<>();
    SettingsReader.read(lastContent, NodeSettings.ALL, problems).ifPresent(this::apply);
    for (DocumentProblem problem : problems) {
      LOGGER.log(
          Level.ERROR,
          "settings not reloaded; line {0}: {1}: {2}",
          problem.line(),
          problem.path(),
          problem.message());
    }
  }

  private void apply(Settings next) {
    try {
      node.reload(next);
      LogLevels.setRootLevel(next.get(NodeSettings.LOG_LEVEL));
    } catch (FoxtaildoorException e) {
      LOGGER.log(Level.ERROR, "settings not reloaded", e);
    }
  }

  private Optional<byte[]> readContent() {
    try {
      return Optional.of(Files.readAllBytes(file));
    } catch (IOException e) {
      LOGGER.log(Level.ERROR, "settings not reloaded; the file cannot be read", e);
      return Optional.empty();
    }
  }
}
