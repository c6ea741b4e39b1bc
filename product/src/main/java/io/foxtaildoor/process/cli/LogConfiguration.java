package io.foxtaildoor.process.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to write one JSON object per line: to standard output for a node, to standard
 * error for other commands. Logback loads this class as a service; an XML configuration would delay
 * the start of a node.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfiguration extends ContextAwareBase implements Configurator {
  /**
   * System property that selects the output stream of the log. It is read when the first logger is
   * created.
   */
  static final String TARGET_PROPERTY = "foxtaildoor.log.target";

  /**
   * Capacity of the log queue. Lines are dropped when it is full, so that request processing never
   * blocks on a slow reader of the log.
   */
  private static final int QUEUE_CAPACITY = 1_024;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    ConsoleAppender<ILoggingEvent> json = new ConsoleAppender<>();
    json.setContext(context);
    json.setTarget(System.getProperty(TARGET_PROPERTY, "System.err"));
    json.setEncoder(encoder(context));
    json.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_CAPACITY);
    queue.setNeverBlock(true);
    queue.addAppender(json);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(queue);
    context.getLogger("io.netty").setLevel(Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static JsonEncoder encoder(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithContext(false);
    encoder.setWithMDC(false);
    // The formatted message already contains the arguments.
    encoder.setWithArguments(false);
    encoder.start();
    return encoder;
  }
}
