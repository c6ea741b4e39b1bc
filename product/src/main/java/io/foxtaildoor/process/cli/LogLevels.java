package io.foxtaildoor.process.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.foxtaildoor.process.settings.NodeSettings.LogLevel;
import org.slf4j.LoggerFactory;

/** Sets the level of Logback's root logger. */
final class LogLevels {
  private LogLevels() {}

  static void setRootLevel(LogLevel level) {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.valueOf(level.name()));
  }
}
