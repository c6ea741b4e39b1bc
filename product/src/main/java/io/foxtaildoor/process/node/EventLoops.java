package io.foxtaildoor.process.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Creates and shuts down the event loops of a process, and creates its random number generator. */
public final class EventLoops {
  private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

  private EventLoops() {}

  /** Creates event loops that use Java NIO. */
  public static EventLoopGroup create(int threads) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
  }

  /** Creates a thread-safe random number generator with a seed from the operating system. */
  static RandomGenerator newRandom() {
    return new java.util.Random(new SecureRandom().nextLong());
  }

  /** Shuts down event loops. Blocks until their threads have ended. */
  public static void shutdown(EventLoopGroup group) {
    group
        .shutdownGracefully(
            SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }
}
