package io.foxtaildoor.request.admission;

import static io.foxtaildoor.request.admission.AdmissionSimulation.MILLIS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.request.admission.AdmissionSimulation.Report;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link AdmissionQueue}. */
public class AdmissionQueueTest {
  private static final Duration SIMULATED_TIME = Duration.ofMinutes(1);

  private static AdmissionQueue<String> queue(int slots) {
    return new AdmissionQueue<>(
        AdmissionSettings.defaults(), new UpstreamLimits(slots, Map.of(), 0, 0), 0);
  }

  private static Optional<String> poll(AdmissionQueue<String> queue, long nowNanos) {
    return queue.poll(nowNanos, expired -> {}).map(Ticket::request);
  }

  /** Admission of single requests. */
  public static final class Decisions {
    /**
     * Guards against urgent requests that wait behind lower ranks, and against later deadlines that
     * start before earlier ones.
     */
    @Test
    public void startsHighestRankAndEarliestDeadlineFirst() {
      AdmissionQueue<String> queue = queue(4);
      queue.offer("low", Rank.LOW, 100 * MILLIS, 0);
      queue.offer("late", Rank.URGENT, 90 * MILLIS, 0);
      queue.offer("early", Rank.URGENT, 80 * MILLIS, 0);
      List<String> order = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        order.add(poll(queue, 0).orElseThrow());
      }
      assertEquals(order, List.of("early", "late", "low"));
    }

    /** Guards against a FIFO baseline that still prefers ranks or deadlines. */
    @Test
    public void fifoIgnoresRankAndDeadline() {
      AdmissionQueue<String> queue =
          new AdmissionQueue<>(
              AdmissionSettings.defaults().withMode(AdmissionMode.FIFO),
              new UpstreamLimits(4, Map.of(), 0, 0),
              0);
      queue.offer("low", Rank.LOW, 100 * MILLIS, 0);
      queue.offer("late", Rank.URGENT, 90 * MILLIS, 0);
      queue.offer("early", Rank.URGENT, 80 * MILLIS, 0);
      List<String> order = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        order.add(poll(queue, 0).orElseThrow());
      }
      assertEquals(order, List.of("low", "late", "early"));
    }

    /** Guards against more requests in flight at the upstream than it has slots. */
    @Test
    public void neverExceedsLimit() {
      AdmissionQueue<String> queue = queue(1);
      Ticket<String> first = queue.offer("a", Rank.LOW, 100 * MILLIS, 0).ticket().orElseThrow();
      queue.offer("b", Rank.LOW, 100 * MILLIS, 0);
      assertEquals(poll(queue, 0), Optional.of("a"));
      assertEquals(poll(queue, 0), Optional.empty());
      queue.finish(first, Completion.ANSWERED, MILLIS, MILLIS);
      queue.finish(first, Completion.ANSWERED, MILLIS, MILLIS);
      assertEquals(poll(queue, MILLIS), Optional.of("b"));
      assertEquals(poll(queue, MILLIS), Optional.empty());
    }

    private static AdmissionQueue<String> busyQueue(int slots, long serviceNanos) {
      AdmissionQueue<String> queue =
          new AdmissionQueue<>(
              AdmissionSettings.defaults().withReportedCapacity(),
              new UpstreamLimits(slots, Map.of(), 0, 0),
              0);
      for (int i = 0; i < slots; i++) {
        queue.offer("first" + i, Rank.URGENT, 10_000 * MILLIS, 0);
        Ticket<String> ticket = queue.poll(0, expired -> {}).orElseThrow();
        queue.finish(ticket, Completion.ANSWERED, serviceNanos, serviceNanos);
      }
      for (int i = 0; i < slots; i++) {
        queue.offer("running" + i, Rank.URGENT, 10_000 * MILLIS, serviceNanos);
        assertTrue(queue.poll(serviceNanos, expired -> {}).isPresent());
      }
      return queue;
    }

    /**
     * Guards against requests that miss their objective but take slots from requests that can still
     * meet theirs.
     */
    @Test
    public void requestMissingItsObjectiveRunsLast() {
      long now = 100 * MILLIS;
      AdmissionQueue<String> queue = busyQueue(4, now);
      long deadline = now + 5_000 * MILLIS;
      assertTrue(
          queue.offer("missed", Rank.URGENT, deadline, now + MILLIS, now).ticket().isPresent());
      assertTrue(
          queue
              .offer("in time", Rank.LOW, deadline, now + 4_000 * MILLIS, now)
              .ticket()
              .isPresent());
      queue.configure(new UpstreamLimits(6, Map.of(), 0, 1), now);
      assertEquals(poll(queue, now), Optional.of("in time"));
      assertEquals(poll(queue, now), Optional.of("missed"));
    }

    /**
     * Guards against running requests last only because their service time exceeds their objective.
     */
    @Test
    public void workLongerThanItsObjectiveKeepsItsRank() {
      long service = 300 * MILLIS;
      AdmissionQueue<String> queue = busyQueue(4, service);
      long deadline = service + 5_000 * MILLIS;
      queue.offer("low", Rank.LOW, deadline, service + 4_000 * MILLIS, service);
      queue.configure(new UpstreamLimits(6, Map.of(), 0, 1), service);
      assertTrue(
          queue
              .offer("urgent", Rank.URGENT, deadline, service + 200 * MILLIS, service)
              .ticket()
              .isPresent());
      assertEquals(poll(queue, service), Optional.of("urgent"));
    }

    /**
     * Guards against holding a request that can no longer meet its objective and would not start
     * soon.
     */
    @Test
    public void requestMissingItsObjectiveIsRefusedBehindLongQueue() {
      long now = 100 * MILLIS;
      AdmissionQueue<String> queue = busyQueue(4, now);
      long deadline = now + 5_000 * MILLIS;
      for (int i = 0; i < 8; i++) {
        queue.offer("waiting" + i, Rank.URGENT, deadline, now + 4_000 * MILLIS, now);
      }
      assertEquals(
          queue.offer("missed", Rank.URGENT, deadline, now + MILLIS, now).refusal(),
          Optional.of(ErrorKind.OVERLOADED));
    }

    /**
     * Guards against a slow or shedding upstream that lowers the limit below the capacity that it
     * reported.
     */
    @Test
    public void limitStaysAtReportedCapacity() {
      AdmissionQueue<String> queue = busyQueue(4, 100 * MILLIS);
      for (int i = 1; i <= 50; i++) {
        long now = (100 + i) * MILLIS;
        queue.offer("x", Rank.URGENT, now + 5_000 * MILLIS, now);
        queue
            .poll(now, expired -> {})
            .ifPresent(ticket -> queue.finish(ticket, Completion.SHED, MILLIS, now));
      }
      assertEquals(queue.load(200 * MILLIS).limit(), 4);
    }

    /**
     * Guards against requests that start after their deadline or disappear without being reported.
     */
    @Test
    public void expiredRequestsAreReportedAndNotRun() {
      AdmissionQueue<String> queue = queue(1);
      queue.offer("a", Rank.LOW, 10 * MILLIS, 0);
      List<String> expired = new ArrayList<>();
      Optional<Ticket<String>> next =
          queue.poll(10 * MILLIS, ticket -> expired.add(ticket.request()));
      assertEquals(next, Optional.empty());
      assertEquals(expired, List.of("a"));
      assertTrue(queue.isEmpty());
      assertEquals(
          queue.offer("b", Rank.LOW, 10 * MILLIS, 10 * MILLIS).refusal(),
          Optional.of(ErrorKind.EXPIRED));
    }

    /** Guards against queueing requests that cannot finish before their deadline. */
    @Test
    public void refusesRequestWhoseWaitExceedsDeadline() {
      AdmissionQueue<String> queue = queue(1);
      Ticket<String> first = queue.offer("a", Rank.LOW, 900 * MILLIS, 0).ticket().orElseThrow();
      poll(queue, 0);
      queue.finish(first, Completion.ANSWERED, 100 * MILLIS, 100 * MILLIS);
      queue.offer("b", Rank.LOW, 900 * MILLIS, 100 * MILLIS);
      poll(queue, 100 * MILLIS);
      AdmissionDecision<String> decision = queue.offer("c", Rank.LOW, 250 * MILLIS, 100 * MILLIS);
      assertEquals(decision.refusal(), Optional.of(ErrorKind.OVERLOADED));
      assertTrue(queue.offer("d", Rank.LOW, 900 * MILLIS, 100 * MILLIS).ticket().isPresent());
    }

    /**
     * Guards against an estimate from one slow response that refuses all further requests forever.
     */
    @Test
    public void idleUpstreamAcceptsRequestRegardlessOfEstimate() {
      AdmissionQueue<String> queue = queue(1);
      Ticket<String> slow = queue.offer("a", Rank.LOW, 100 * MILLIS, 0).ticket().orElseThrow();
      poll(queue, 0);
      queue.finish(slow, Completion.ANSWERED, 9000 * MILLIS, 9000 * MILLIS);
      queue.offer("b", Rank.LOW, 9100 * MILLIS, 9000 * MILLIS);
      assertEquals(poll(queue, 9000 * MILLIS), Optional.of("b"));
    }

    /** Guards against a cancelled request that still runs or keeps a slot. */
    @Test
    public void cancelledRequestLeavesItsQueue() {
      AdmissionQueue<String> queue = queue(1);
      Ticket<String> ticket = queue.offer("a", Rank.LOW, 100 * MILLIS, 0).ticket().orElseThrow();
      assertTrue(queue.cancel(ticket));
      assertFalse(queue.cancel(ticket));
      assertEquals(poll(queue, 0), Optional.empty());
      assertTrue(queue.isEmpty());
    }

    /**
     * Guards against a draining upstream that gets new requests, and against dropping requests
     * already queued.
     */
    @Test
    public void drainRefusesNewRequestsAndFinishesQueuedOnes() {
      AdmissionQueue<String> queue = queue(1);
      Ticket<String> ticket = queue.offer("a", Rank.LOW, 100 * MILLIS, 0).ticket().orElseThrow();
      queue.beginDrain();
      assertEquals(
          queue.offer("b", Rank.URGENT, 100 * MILLIS, 0).refusal(), Optional.of(ErrorKind.LEAVING));
      assertEquals(poll(queue, 0), Optional.of("a"));
      assertFalse(queue.isEmpty());
      queue.finish(ticket, Completion.ANSWERED, MILLIS, MILLIS);
      assertTrue(queue.isEmpty());
    }
  }

  /** The queue of a node that has just started and knows no service times. */
  public static final class WithoutHistory {
    /**
     * Guards against a restarted node that starts more requests than the instance reported, or
     * keeps requests beyond their deadlines instead of refusing them as not run.
     */
    @Test
    public void burstAfterRestartStaysWithinCapacity() {
      AdmissionQueue<String> queue = queue(9);
      int queued = 0;
      for (int i = 0; i < 200; i++) {
        queued += queue.offer("r" + i, Rank.LOW, 500 * MILLIS, 0).ticket().isPresent() ? 1 : 0;
      }
      int started = 0;
      while (poll(queue, 0).isPresent()) {
        started++;
      }
      assertEquals(started, 9);
      List<String> expired = new ArrayList<>();
      assertTrue(queue.poll(500 * MILLIS, ticket -> expired.add(ticket.request())).isEmpty());
      assertEquals(expired.size(), queued - started);
    }
  }

  /** Concurrency limit. */
  public static final class Limit {
    /** Guards against full load on an instance that has just started. */
    @Test
    public void limitGrowsDuringColdStart() {
      UpstreamLimits limits = new UpstreamLimits(9, Map.of(), 8000 * MILLIS, 0);
      LimitController controller = new LimitController(AdmissionSettings.defaults(), limits);
      assertEquals(controller.currentLimit(0), 1);
      assertEquals(controller.currentLimit(4000 * MILLIS), 5);
      assertEquals(controller.currentLimit(8000 * MILLIS), 9);
    }

    /**
     * Guards against a restarted node that takes a long-running instance for a cold one, or a cold
     * one for a long-running one: the age of the instance counts, not that of the node.
     */
    @Test
    public void limitOfRestartedNodeFollowsAgeOfInstance() {
      AdmissionSettings settings = AdmissionSettings.defaults();
      UpstreamLimits old = new UpstreamLimits(9, Map.of(), 8000 * MILLIS, -60_000 * MILLIS);
      UpstreamLimits young = new UpstreamLimits(9, Map.of(), 8000 * MILLIS, -4000 * MILLIS);
      assertEquals(new LimitController(settings, old).currentLimit(0), 9);
      assertEquals(new LimitController(settings, young).currentLimit(0), 5);
    }

    /**
     * Guards against a limit that ignores load shedding, collapses within one round trip, or never
     * recovers.
     */
    @Test
    public void sheddingLowersLimitOncePerRoundTrip() {
      LimitController controller =
          new LimitController(AdmissionSettings.defaults(), new UpstreamLimits(10, Map.of(), 0, 0));
      for (int i = 0; i < 10; i++) {
        controller.recordShedding(10 * MILLIS, MILLIS + i);
      }
      assertEquals(controller.currentLimit(MILLIS), 7);
      for (int i = 0; i < 7; i++) {
        controller.recordResponse(Rank.LOW, 10 * MILLIS, 20 * MILLIS);
      }
      assertEquals(controller.currentLimit(20 * MILLIS), 7);
      for (int i = 0; i < 30; i++) {
        controller.recordResponse(Rank.LOW, 10 * MILLIS, 20 * MILLIS);
      }
      assertEquals(controller.currentLimit(20 * MILLIS), 10);
    }

    /**
     * Guards against a limit that ignores growing latency, or that growing latency lowers to
     * nothing.
     */
    @Test
    public void risingLatencyLowersLimitToHalfAtMost() {
      LimitController controller =
          new LimitController(AdmissionSettings.defaults(), new UpstreamLimits(10, Map.of(), 0, 0));
      for (int i = 0; i < 100; i++) {
        controller.recordResponse(Rank.LOW, 10 * MILLIS, i * MILLIS);
      }
      for (int i = 1; i < 100; i++) {
        controller.recordResponse(Rank.LOW, 60 * MILLIS, i * 1000L * MILLIS);
      }
      assertEquals(controller.currentLimit(100_000 * MILLIS), 5);
    }
  }

  /** Floods of one rank, simulated in virtual time. */
  public static final class Floods {
    @DataProvider
    public Object[][] floods() {
      return new Object[][] {{0.8}, {1.5}, {3.0}, {10.0}};
    }

    /**
     * Guards against urgent requests that are delayed or refused during a flood of the lowest rank.
     */
    @Test(dataProvider = "floods")
    public void urgentRequestsMeetDeadlinesDuringLowRankFlood(double floodLoad) {
      Report calm = run(AdmissionComparison.normalLoad());
      Report flood = run(AdmissionComparison.withFlood(Rank.LOW, floodLoad));
      assertTrue(flood.of(Rank.URGENT).share() >= 0.995);
      assertTrue(flood.of(Rank.URGENT).p99Millis() <= 2 * calm.of(Rank.URGENT).p99Millis());
      assertEquals(flood.startedExpired(), 0);
      if (floodLoad > 1) {
        assertTrue(flood.usefulWork() > 0.95, "useful work " + flood.usefulWork());
      }
    }

    /**
     * Guards against a flood of the most urgent rank that takes the reserved shares of the others.
     */
    @Test(dataProvider = "floods")
    public void reservedSharesHoldDuringUrgentFlood(double floodLoad) {
      Map<Rank, Double> load = AdmissionComparison.withFlood(Rank.URGENT, floodLoad);
      Report flood = run(load);
      for (Map.Entry<Rank, Integer> reserved : AdmissionSimulation.RESERVED.entrySet()) {
        double reservedShare = reserved.getValue() / 100.0;
        double offeredShare = load.get(reserved.getKey());
        double receivedShare = flood.of(reserved.getKey()).share() * offeredShare;
        assertTrue(
            receivedShare >= 0.95 * Math.min(reservedShare, offeredShare),
            reserved.getKey() + " received " + receivedShare);
      }
      assertEquals(flood.startedExpired(), 0);
      if (floodLoad > 1) {
        assertTrue(flood.usefulWork() > 0.95, "useful work " + flood.usefulWork());
      }
    }

    private static Report run(Map<Rank, Double> load) {
      return AdmissionSimulation.run(
          AdmissionSimulation.ranked(AdmissionSimulation.RESERVED), load, SIMULATED_TIME, 1);
    }
  }
}
