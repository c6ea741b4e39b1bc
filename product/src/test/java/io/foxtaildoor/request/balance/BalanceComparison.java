package io.foxtaildoor.request.balance;

import io.foxtaildoor.process.membership.NodeRecord;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;

/**
 * Compares the upstream selection with round robin and with the least reported load, in virtual
 * time.
 *
 * <p>Instance 0 is slow (4 times the service time), instance 1 starts cold (4 times slower, normal
 * after 5 s) and instance 2 fails 60% of its requests at once. Interarrival and service times are
 * exponentially distributed. 20 nodes send requests, which are not retried and fail after 500 ms in
 * a queue.
 */
public final class BalanceComparison {
  private static final int NODES = 20;
  private static final long MEAN_SERVICE_NANOS = Duration.ofMillis(10).toNanos();
  private static final long QUEUE_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();
  private static final long REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long COLD_START_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long SIMULATED_NANOS = Duration.ofSeconds(30).toNanos();

  /** Offered load as a fraction of the capacity of the instances that stay healthy. */
  private static final double UTILIZATION = 0.6;

  private final SplittableRandom random;
  private final List<NodeRecord> nodes = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private final List<UpstreamSelector> selectors = new ArrayList<>();
  private final int[] next = new int[NODES];
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final Histogram latencies = new Histogram(3);
  private final Policy policy;
  private long sequence;
  private long failures;

  private BalanceComparison(int instances, long seed, Policy policy) {
    this.random = new SplittableRandom(seed);
    this.policy = policy;
    for (int i = 0; i < instances; i++) {
      nodes.add(Fleet.node(i, Fleet.HOME, i == 1 ? 0 : -SIMULATED_NANOS));
      upstreams.add(new Upstream(i));
    }
    for (int i = 0; i < NODES; i++) {
      selectors.add(new UpstreamSelector(BalanceSettings.defaults(), Fleet.REGION, Fleet.HOME));
    }
  }

  private enum Policy {
    ROUND_ROBIN,
    LEAST_REPORTED_LOAD,
    POWER_OF_TWO_CHOICES
  }

  /** Prints the table for 5 and 12 instances and three seeds. */
  public static void main(String[] args) {
    System.out.println("policy instances seed requests p50-ms p99-ms failures-%");
    for (int instances : new int[] {5, 12}) {
      for (long seed = 1; seed <= 3; seed++) {
        for (Policy policy : Policy.values()) {
          BalanceComparison run = new BalanceComparison(instances, seed, policy);
          run.run();
          Histogram h = run.latencies;
          long requests = h.getTotalCount() + run.failures;
          System.out.printf(
              "%-20s %2d %d %7d %6.1f %6.1f %6.2f%n",
              policy,
              instances,
              seed,
              requests,
              h.getValueAtPercentile(50) / 1e6,
              h.getValueAtPercentile(99) / 1e6,
              100.0 * run.failures / requests);
        }
      }
    }
  }

  private void run() {
    at(REPORT_PERIOD_NANOS, this::report);
    at(0, this::arrive);
    while (!events.isEmpty()) {
      Event event = events.remove();
      event.action.accept(event.atNanos);
    }
  }

  private void report(long now) {
    upstreams.forEach(upstream -> upstream.lastReport = upstream.occupied());
    if (now < SIMULATED_NANOS) {
      at(now + REPORT_PERIOD_NANOS, this::report);
    }
  }

  private void arrive(long now) {
    if (now < SIMULATED_NANOS) {
      double capacity = UTILIZATION * Fleet.SLOTS * (nodes.size() - 2);
      at(now + (long) exponential(MEAN_SERVICE_NANOS / capacity), this::arrive);
      Request request = send(random.nextInt(NODES), now);
      request.upstream.accept(request, now);
    }
  }

  private Request send(int node, long now) {
    if (policy == Policy.ROUND_ROBIN) {
      return new Request(upstreams.get(next[node]++ % nodes.size()), now, null, null);
    }
    if (policy == Policy.LEAST_REPORTED_LOAD) {
      int offset = random.nextInt(nodes.size());
      Upstream best = upstreams.get(offset);
      for (int i = 1; i < nodes.size(); i++) {
        Upstream other = upstreams.get((offset + i) % nodes.size());
        best = other.lastReport < best.lastReport ? other : best;
      }
      return new Request(best, now, null, null);
    }
    UpstreamSelector selector = selectors.get(node);
    Selection selection =
        selector.choose(Fleet.SERVICE, nodes, Set.of(), true, now, random).orElseThrow();
    return new Request(upstreams.get(nodes.indexOf(selection.node())), now, selector, selection);
  }

  private void end(Request request, boolean failed, long now) {
    if (request.selection != null) {
      ReportedLoad load = new ReportedLoad(request.upstream.occupied(), Fleet.SLOTS);
      request.selector.report(request.selection, load, now);
      AttemptResult result = failed ? AttemptResult.FAILED : AttemptResult.ANSWERED;
      request.selector.finish(request.selection, result, now - request.sentNanos, now);
    }
    if (failed) {
      failures++;
    } else {
      latencies.recordValue(now - request.sentNanos);
    }
  }

  private void at(long atNanos, LongConsumer action) {
    events.add(new Event(atNanos, sequence++, action));
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private record Request(
      Upstream upstream, long sentNanos, UpstreamSelector selector, Selection selection) {}

  private record Event(long atNanos, long sequence, LongConsumer action) {}

  /** An instance with slots and a queue. */
  private final class Upstream {
    private final int number;
    private final Queue<Request> queue = new ArrayDeque<>();
    private int busy;
    private int lastReport;

    Upstream(int number) {
      this.number = number;
    }

    int occupied() {
      return busy + queue.size();
    }

    void accept(Request request, long now) {
      if (number == 2 && random.nextDouble() < 0.6) {
        at(now + 1_000_000, then -> end(request, true, then));
      } else {
        queue.add(request);
        startNext(now);
      }
    }

    private void startNext(long now) {
      while (busy < Fleet.SLOTS && !queue.isEmpty()) {
        Request request = queue.remove();
        if (now - request.sentNanos > QUEUE_TIMEOUT_NANOS) {
          end(request, true, now);
        } else {
          busy++;
          boolean slow = number == 0 || (number == 1 && now < COLD_START_NANOS);
          long service = (long) exponential(MEAN_SERVICE_NANOS * (slow ? 4.0 : 1.0));
          at(now + service, then -> finish(request, then));
        }
      }
    }

    private void finish(Request request, long now) {
      busy--;
      end(request, false, now);
      startNext(now);
    }
  }
}
