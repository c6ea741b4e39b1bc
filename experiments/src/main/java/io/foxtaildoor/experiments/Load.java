package io.foxtaildoor.experiments;

import io.foxtaildoor.process.load.ArrivalProcess;
import io.foxtaildoor.process.load.LoadPlan;
import io.foxtaildoor.process.load.LoadResult;
import io.foxtaildoor.process.load.LoadRunner;
import io.foxtaildoor.process.load.StreamPlan;
import io.foxtaildoor.process.node.EventLoops;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;

/** Runs the load generator of the product and measures how late its own tasks start. */
final class Load implements AutoCloseable {
  private static final int EVENT_LOOPS = 4;
  private static final long LATENESS_PROBE_PERIOD_MICROS = 1_000;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final Duration WARM_UP = Duration.ofSeconds(2);

  private final EventLoopGroup group = EventLoops.create(EVENT_LOOPS);
  private final LoadRunner runner = new LoadRunner(group, System::nanoTime);

  /**
   * A load result with the lateness of the load generator.
   *
   * @param latenessP99Millis 99th percentile of the delay with which a task of 1 ms period started
   *     on the event loops of the generator, over the warm-up and the measured time
   * @param latenessMaxMillis longest such delay
   */
  record Measured(LoadResult result, double latenessP99Millis, double latenessMaxMillis) {}

  /** Creates the plan of one request stream to a port, with Poisson arrivals. */
  static StreamPlan createStreamPlan(
      String name, int port, String rank, double ratePerSecond, Duration deadline) {
    return new StreamPlan(
        name,
        URI.create("http://127.0.0.1:" + port + "/" + rank.toLowerCase(Locale.ROOT) + "/table"),
        "GET",
        Map.of("Host", "bookings.pamoja"),
        "",
        rank,
        ratePerSecond,
        ArrivalProcess.POISSON,
        deadline,
        true);
  }

  /** Runs the streams for a warm-up of 2 s and then for the measured time of the options. */
  Measured run(Options options, int connectionsPerTarget, List<StreamPlan> streams) {
    Duration measured = Duration.ofSeconds(options.seconds);
    LoadPlan plan =
        new LoadPlan(WARM_UP, measured, options.seed, connectionsPerTarget, Set.of(), streams);
    ConcurrentHistogram lateness = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    List<ScheduledFuture<?>> probes = new ArrayList<>();
    for (EventExecutor loop : group) {
      probes.add(startLatenessProbe(loop, lateness));
    }
    LoadResult result = runner.run(plan).join();
    probes.forEach(probe -> probe.cancel(false));
    return new Measured(
        result, lateness.getValueAtPercentile(99) / 1e3, lateness.getMaxValue() / 1e3);
  }

  private static ScheduledFuture<?> startLatenessProbe(
      EventExecutor loop, ConcurrentHistogram lateness) {
    long[] dueNanos = {System.nanoTime()};
    return loop.scheduleAtFixedRate(
        () -> {
          long lateNanos = System.nanoTime() - dueNanos[0];
          lateness.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(lateNanos)));
          dueNanos[0] += TimeUnit.MICROSECONDS.toNanos(LATENESS_PROBE_PERIOD_MICROS);
        },
        0,
        LATENESS_PROBE_PERIOD_MICROS,
        TimeUnit.MICROSECONDS);
  }

  @Override
  public void close() {
    EventLoops.shutdown(group);
  }
}
