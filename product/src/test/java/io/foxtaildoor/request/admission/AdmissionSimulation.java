package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.agrona.concurrent.CachedNanoClock;

/** Simulates one upstream in virtual time, with seeded arrivals and service times. */
final class AdmissionSimulation {
  static final int SLOTS = 9;
  static final Map<Rank, Integer> RESERVED = Map.of(Rank.HIGH, 20, Rank.NORMAL, 10, Rank.LOW, 5);
  static final long MILLIS = TimeUnit.MILLISECONDS.toNanos(1);

  /** Mean number of requests per second that nine slots serve at 20 to 60 ms each. */
  static final double CAPACITY_PER_SECOND = SLOTS / 0.040;

  private static final Map<Rank, Long> DEADLINES =
      Map.of(
          Rank.URGENT, 500 * MILLIS,
          Rank.HIGH, 1000 * MILLIS,
          Rank.NORMAL, 2000 * MILLIS,
          Rank.LOW, 5000 * MILLIS);

  private final CachedNanoClock clock = new CachedNanoClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final Map<Rank, RankReport> reports = new EnumMap<>(Rank.class);
  private long order;
  private int running;
  private long usefulNanos;
  private long lengthNanos;
  private long startedExpired;

  /** Event of the simulation. */
  private record Event(long atNanos, long order, Runnable action) {}

  /** One simulated request. */
  record Request(Rank rank, long arrivedNanos, long deadlineNanos, long serviceNanos) {}

  /** Admission policy under test. */
  interface Policy {
    void offer(Request request, long nowNanos);

    /** Returns the next request to run, or null. */
    Request poll(long nowNanos);

    void finish(Request request, long nowNanos);
  }

  /** Results of one rank. */
  static final class RankReport {
    long offered;
    long inTime;
    final Histogram latency = new Histogram(3);

    double share() {
      return offered == 0 ? 1 : (double) inTime / offered;
    }

    double p99Millis() {
      return latency.getValueAtPercentile(99) / (double) MILLIS;
    }
  }

  /** Results of one simulation. */
  record Report(Map<Rank, RankReport> ranks, double usefulWork, long startedExpired) {
    RankReport of(Rank rank) {
      return ranks.get(rank);
    }
  }

  /** Simulates a load, given for each rank as a fraction of the capacity. */
  static Report run(Policy policy, Map<Rank, Double> load, Duration length, long seed) {
    return new AdmissionSimulation().simulate(policy, load, length.toNanos(), seed);
  }

  private Report simulate(Policy policy, Map<Rank, Double> load, long length, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    lengthNanos = length;
    for (Rank rank : Rank.values()) {
      reports.put(rank, new RankReport());
      double rate = load.getOrDefault(rank, 0.0) * CAPACITY_PER_SECOND;
      if (rate > 0) {
        arrive(policy, rank, rate, length, random.split());
      }
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.update(event.atNanos());
      event.action().run();
      dispatch(policy);
    }
    return new Report(reports, usefulNanos / ((double) SLOTS * length), startedExpired);
  }

  private void arrive(Policy policy, Rank rank, double rate, long length, SplittableRandom random) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * TimeUnit.SECONDS.toNanos(1));
    long at = clock.nanoTime() + gap;
    if (at > length) {
      return;
    }
    long service = random.nextLong(20 * MILLIS, 60 * MILLIS);
    at(
        at,
        () -> {
          reports.get(rank).offered++;
          policy.offer(new Request(rank, at, at + DEADLINES.get(rank), service), at);
          arrive(policy, rank, rate, length, random);
        });
  }

  private void dispatch(Policy policy) {
    long now = clock.nanoTime();
    while (running < SLOTS) {
      Request next = policy.poll(now);
      if (next == null) {
        return;
      }
      running++;
      if (next.deadlineNanos() <= now) {
        startedExpired++;
      }
      at(now + next.serviceNanos(), () -> complete(policy, next));
    }
  }

  private void complete(Policy policy, Request request) {
    long now = clock.nanoTime();
    running--;
    policy.finish(request, now);
    if (now <= request.deadlineNanos()) {
      RankReport report = reports.get(request.rank());
      report.inTime++;
      report.latency.recordValue(now - request.arrivedNanos());
      if (now <= lengthNanos) {
        usefulNanos += request.serviceNanos();
      }
    }
  }

  private void at(long nanos, Runnable action) {
    events.add(new Event(nanos, order++, action));
  }

  /** The admission queue of the product. */
  static Policy ranked(Map<Rank, Integer> reserved) {
    AdmissionQueue<Request> queue =
        new AdmissionQueue<>(
            AdmissionSettings.defaults(), new UpstreamLimits(SLOTS, reserved, 0, 0), 0);
    IdentityHashMap<Request, Ticket<Request>> running = new IdentityHashMap<>();
    return new Policy() {
      @Override
      public void offer(Request request, long nowNanos) {
        var unused = queue.offer(request, request.rank(), request.deadlineNanos(), nowNanos);
      }

      @Override
      public Request poll(long nowNanos) {
        Ticket<Request> ticket = queue.poll(nowNanos, expired -> {}).orElse(null);
        if (ticket == null) {
          return null;
        }
        running.put(ticket.request(), ticket);
        return ticket.request();
      }

      @Override
      public void finish(Request request, long nowNanos) {
        queue.finish(
            running.remove(request), Completion.ANSWERED, request.serviceNanos(), nowNanos);
      }
    };
  }

  /** A bounded first-in, first-out queue without ranks; expired requests are not run. */
  static Policy fifo() {
    ArrayDeque<Request> queue = new ArrayDeque<>();
    int bound = Rank.COUNT * AdmissionSettings.defaults().maxQueuedPerRank();
    return new Policy() {
      @Override
      public void offer(Request request, long nowNanos) {
        if (queue.size() < bound) {
          queue.add(request);
        }
      }

      @Override
      public Request poll(long nowNanos) {
        Request next = queue.poll();
        while (next != null && next.deadlineNanos() <= nowNanos) {
          next = queue.poll();
        }
        return next;
      }

      @Override
      public void finish(Request request, long nowNanos) {}
    };
  }
}
