package io.foxtaildoor.process.load;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Runs load plans. Each stream runs on one event loop. */
public final class LoadRunner {
  /** Delay before the start of a run, within which all streams are set up. */
  private static final long START_DELAY_NANOS = Duration.ofMillis(20).toNanos();

  private final EventLoopGroup group;
  private final LongSupplier nanoClock;

  /**
   * Creates a runner.
   *
   * @param nanoClock monotonic time in nanoseconds
   */
  public LoadRunner(EventLoopGroup group, LongSupplier nanoClock) {
    this.group = group;
    this.nanoClock = nanoClock;
  }

  /**
   * Runs a plan.
   *
   * @return a future with the result, which completes after the last request has ended
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when a target is neither a
   *     loopback address nor allowed by the plan, or when it has fewer connections than streams
   */
  public CompletableFuture<LoadResult> run(LoadPlan plan) {
    Map<StreamPlan, InetSocketAddress> targets = resolveTargets(plan);
    Map<InetSocketAddress, Integer> streamsOfTarget = new HashMap<>();
    targets.values().forEach(target -> streamsOfTarget.merge(target, 1, Integer::sum));
    SplittableRandom random = new SplittableRandom(plan.seed());
    long startAt = nanoClock.getAsLong() + START_DELAY_NANOS;
    List<StreamRun> runs = new ArrayList<>();
    for (StreamPlan stream : plan.streams()) {
      InetSocketAddress target = targets.get(stream);
      int connections = plan.connectionsPerTarget() / streamsOfTarget.get(target);
      if (connections == 0) {
        throw new FoxtaildoorException(
            ErrorKind.INVALID_INPUT, "load plan: fewer connections than streams for " + target);
      }
      ArrivalTimes arrivals =
          new ArrivalTimes(stream.arrival(), stream.ratePerSecond(), random.split());
      runs.add(
          new StreamRun(
              stream,
              new StreamRun.Times(startAt, plan.warmUp().toNanos(), plan.duration().toNanos()),
              arrivals,
              new ConnectionPool(group.next(), target, connections),
              nanoClock));
    }
    return startAll(plan, runs);
  }

  private static CompletableFuture<LoadResult> startAll(LoadPlan plan, List<StreamRun> runs) {
    List<CompletableFuture<StreamResult>> results = new ArrayList<>();
    runs.forEach(run -> results.add(run.start()));
    double seconds = plan.duration().toNanos() / (double) TimeUnit.SECONDS.toNanos(1);
    return CompletableFuture.allOf(results.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                new LoadResult(seconds, results.stream().map(CompletableFuture::join).toList()));
  }

  private static Map<StreamPlan, InetSocketAddress> resolveTargets(LoadPlan plan) {
    Map<StreamPlan, InetSocketAddress> targets = new HashMap<>();
    for (StreamPlan stream : plan.streams()) {
      InetAddress address = resolveHost(stream);
      if (!address.isLoopbackAddress()
          && !plan.allowedAddresses().contains(address.getHostAddress())) {
        throw new FoxtaildoorException(
            ErrorKind.INVALID_INPUT,
            "load plan: "
                + stream.name()
                + " targets "
                + address.getHostAddress()
                + ", which is neither a loopback address nor in allowedAddresses");
      }
      targets.put(stream, new InetSocketAddress(address, stream.port()));
    }
    return targets;
  }

  private static InetAddress resolveHost(StreamPlan stream) {
    try {
      return InetAddress.getByName(stream.url().getHost());
    } catch (UnknownHostException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "load plan: unknown host " + stream.url().getHost(), e);
    }
  }
}
