package io.foxtaildoor.request.balance;

import io.foxtaildoor.process.membership.NodeRecord;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Compares the upstream selection with round robin and least reported load, in virtual time.
 *
 * <p>Of the instances, number 0 is slow (4 times), number 1 starts cold (4 times slower, normal
 * after 5 s) and number 2 fails 60% of its requests at once. Arrivals and service times are
 * exponential; 20 nodes send; requests are not retried and fail after 500 ms in a queue.
 */
public final class BalanceComparison {
  private static final int NODES = 20;
  private static final long SERVICE_NANOS = Duration.ofMillis(10).toNanos();
  private static final long LIMIT_NANOS = Duration.ofMillis(500).toNanos();
  private static final long REPORT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long COLD_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long RUN_NANOS = Duration.ofSeconds(30).toNanos();

  /** Share of the capacity of all healthy instances that is offered. */
  private static final double UTILIZATION = 0.6;

  private final SplittableRandom random;
  private final List<NodeRecord> nodes = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Histogram latencies = new Histogram(3);
  private final Policy policy;
  private final double meanGapNanos;
  private long sequence;
  private long failures;

  private BalanceComparison(int instances, long seed, Policy policy) {
    this.random = new SplittableRandom(seed);
    this.policy = policy;
    for (int i = 0; i < instances; i++) {
      nodes.add(Fleet.node(i, Fleet.HOME, i == 1 ? 0 : -RUN_NANOS));
      upstreams.add(new Upstream(i));
    }
    meanGapNanos = SERVICE_NANOS / (UTILIZATION * Fleet.SLOTS * (instances - 2));
  }

  /** Prints the table for 5 and 12 instances and three seeds. */
  public static void main(String[] args) {
    System.out.printf(
        "%-22s %-9s %4s %9s %9s %9s %9s%n",
        "policy", "instances", "seed", "requests", "p50 ms", "p99 ms", "failures");
    for (int instances : new int[] {5, 12}) {
      for (long seed = 1; seed <= 3; seed++) {
        run(instances, seed, "round robin", roundRobin());
        run(instances, seed, "least reported load", leastReported());
        run(instances, seed, "power of two choices", selector(seed));
      }
    }
  }

  private static void run(int instances, long seed, String name, Policy policy) {
    BalanceComparison comparison = new BalanceComparison(instances, seed, policy);
    comparison.run();
    Histogram h = comparison.latencies;
    System.out.printf(
        Locale.ROOT,
        "%-22s %-9d %4d %9d %9.1f %9.1f %8.2f%%%n",
        name,
        instances,
        seed,
        h.getTotalCount() + comparison.failures,
        h.getValueAtPercentile(50) / 1e6,
        h.getValueAtPercentile(99) / 1e6,
        100.0 * comparison.failures / (h.getTotalCount() + comparison.failures));
  }

  private void run() {
    for (Upstream upstream : upstreams) {
      at(REPORT_PERIOD_NANOS, now -> report(upstream, now));
    }
    at(0, this::arrive);
    while (!events.isEmpty()) {
      Event event = events.remove();
      event.action.run(event.atNanos);
    }
  }

  private void report(Upstream upstream, long now) {
    upstream.lastReport = upstream.occupied();
    if (now < RUN_NANOS) {
      at(now + REPORT_PERIOD_NANOS, next -> report(upstream, next));
    }
  }

  private void arrive(long now) {
    if (now >= RUN_NANOS) {
      return;
    }
    at(now + (long) exponential(meanGapNanos), this::arrive);
    int node = random.nextInt(NODES);
    Request request = policy.send(this, node, now);
    request.upstream.accept(request, now);
  }

  private void end(Request request, boolean failed, long now) {
    request.ended.end(request, failed, now);
    if (failed) {
      failures++;
    } else {
      latencies.recordValue(now - request.sentNanos);
    }
  }

  private void at(long atNanos, Action action) {
    events.add(new Event(atNanos, sequence++, action));
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static Policy roundRobin() {
    int[] next = new int[NODES];
    return (run, node, now) ->
        new Request(run.upstreams.get(next[node]++ % run.nodes.size()), now, (r, f, t) -> {});
  }

  private static Policy leastReported() {
    return (run, node, now) -> {
      int offset = run.random.nextInt(run.nodes.size());
      Upstream best = run.upstreams.get(offset);
      for (int i = 1; i < run.nodes.size(); i++) {
        Upstream other = run.upstreams.get((offset + i) % run.nodes.size());
        best = other.lastReport < best.lastReport ? other : best;
      }
      return new Request(best, now, (r, f, t) -> {});
    };
  }

  private static Policy selector(long seed) {
    SplittableRandom random = new SplittableRandom(-seed);
    List<UpstreamSelector> selectors = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      selectors.add(new UpstreamSelector(BalanceSettings.defaults(), Fleet.REGION, Fleet.HOME));
    }
    return (run, node, now) -> {
      UpstreamSelector selector = selectors.get(node);
      Selection selection =
          selector.choose(Fleet.SERVICE, run.nodes, Set.of(), true, now, random).orElseThrow();
      Upstream upstream = run.upstreams.get(run.nodes.indexOf(selection.node()));
      return new Request(
          upstream,
          now,
          (request, failed, at) -> {
            selector.report(selection, new ReportedLoad(upstream.occupied(), Fleet.SLOTS), at);
            AttemptResult result = failed ? AttemptResult.FAILED : AttemptResult.ANSWERED;
            selector.finish(selection, result, at - request.sentNanos, at);
          });
    };
  }

  private interface Policy {
    Request send(BalanceComparison run, int node, long now);
  }

  private interface Action {
    void run(long now);
  }

  private interface Ended {
    void end(Request request, boolean failed, long now);
  }

  private record Request(Upstream upstream, long sentNanos, Ended ended) {}

  private record Event(long atNanos, long sequence, Action action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** An instance with slots and a queue. */
  private final class Upstream {
    private final int number;
    private final Deque<Request> queue = new ArrayDeque<>();
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
        return;
      }
      queue.add(request);
      startNext(now);
    }

    private void startNext(long now) {
      while (busy < Fleet.SLOTS && !queue.isEmpty()) {
        Request request = queue.remove();
        if (now - request.sentNanos > LIMIT_NANOS) {
          end(request, true, now);
          continue;
        }
        busy++;
        boolean slow = number == 0 || (number == 1 && now < COLD_NANOS);
        long service = (long) exponential(SERVICE_NANOS * (slow ? 4.0 : 1.0));
        at(now + service, then -> finish(request, then));
      }
    }

    private void finish(Request request, long now) {
      busy--;
      end(request, false, now);
      startNext(now);
    }
  }
}
