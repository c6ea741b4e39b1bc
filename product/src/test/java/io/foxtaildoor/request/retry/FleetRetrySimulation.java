package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Plays the retries of many nodes in virtual time. Clients send to the first service of a chain and
 * to each later one; every run of a service calls the next one by the node beside its instance.
 * What arrives is counted over the whole fleet, as a deployment counts it.
 */
final class FleetRetrySimulation {
  static final Duration WINDOW = Duration.ofSeconds(10);
  static final double BUDGET_SHARE = 0.2;
  static final double FLEET_FLOOR = 60;

  /** Parts of the budget that nodes use. */
  private static final double BUDGET_SAFETY_FACTOR = 0.8;

  private static final double FLOOR_SAFETY_FACTOR = 0.25;

  private static final int ATTEMPTS = 3;
  private static final long MILLI = 1_000_000;
  private static final int SLOT_MILLIS = 100;
  private static final int WINDOW_SLOTS = (int) (WINDOW.toMillis() / SLOT_MILLIS);

  /**
   * What is played.
   *
   * @param clientsPerSecond requests of clients to each service of the chain
   * @param callsPerRun calls to the next service that a run makes
   * @param failures probability by time, in milliseconds, that an arrival at a service fails
   * @param restartEveryMillis time after which all nodes start again and know only themselves; 0
   *     for never
   */
  record Scenario(
      int nodes,
      int seconds,
      List<Double> clientsPerSecond,
      double callsPerRun,
      Failures failures,
      int restartEveryMillis) {}

  /** Probability that an arrival at a service of the chain fails. */
  @FunctionalInterface
  interface Failures {
    double at(int service, int millis);
  }

  private final Scenario scenario;
  private final SplittableRandom random;
  private final List<RetryBudgets> nodes = new ArrayList<>();
  private final int[][] requests;
  private final int[][] repeats;
  private int now;
  private int startedMillis;

  FleetRetrySimulation(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    int slots = scenario.seconds() * 1_000 / SLOT_MILLIS;
    requests = new int[scenario.clientsPerSecond().size()][slots];
    repeats = new int[scenario.clientsPerSecond().size()][slots];
  }

  /** Plays the plan to its end. */
  FleetRetrySimulation run() {
    startNodes();
    for (now = 0; now < scenario.seconds() * 1_000; now++) {
      if (scenario.restartEveryMillis() > 0
          && now > 0
          && now % scenario.restartEveryMillis() == 0) {
        startNodes();
      }
      for (int service = 0; service < requests.length; service++) {
        sendClientRequests(service);
      }
    }
    return this;
  }

  private void startNodes() {
    startedMillis = now;
    nodes.clear();
    for (int i = 0; i < scenario.nodes(); i++) {
      nodes.add(node());
    }
  }

  /** A node as the node process assembles it. */
  private RetryBudgets node() {
    long started = now * MILLI;
    RetrySettings settings =
        new RetrySettings(
            ATTEMPTS + 1,
            Duration.ofMillis(2),
            BUDGET_SHARE * BUDGET_SAFETY_FACTOR,
            0,
            WINDOW,
            true,
            true);
    NodeRetryFloor floor = new NodeRetryFloor(started);
    return new RetryBudgets(
        () -> settings,
        nanos ->
            floor.retriesPerWindow(FLEET_FLOOR * FLOOR_SAFETY_FACTOR, knownNodes(), WINDOW, nanos),
        started);
  }

  /** A fleet that started together finds itself within two seconds. */
  private int knownNodes() {
    return now - startedMillis < 2_000 ? 1 : scenario.nodes();
  }

  private void sendClientRequests(int service) {
    double expected = scenario.clientsPerSecond().get(service) / 1_000;
    for (double left = expected; random.nextDouble() < left; left--) {
      send(random.nextInt(nodes.size()), service, false);
    }
  }

  /**
   * Sends a request by a node and repeats it as that node admits.
   *
   * @param calledByRepeat whether a repeated run makes the request
   */
  private void send(int sender, int service, boolean calledByRepeat) {
    RetryBudgets node = nodes.get(sender);
    long nanos = now * MILLI;
    requests[service][now / SLOT_MILLIS] += calledByRepeat ? 0 : 1;
    // Clients wait for as long as any run, so no request is known to be no call.
    double share =
        node.recordRequest(id(service), Optional.of(id(serviceOf(sender))), nanos, nanos);
    boolean repeat = calledByRepeat;
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      run(service, repeat, share);
      boolean failed = random.nextDouble() < scenario.failures().at(service, now);
      if (!failed || attempt == ATTEMPTS || !node.tryAcquire(id(service), nanos)) {
        return;
      }
      repeat = true;
      share = 1;
    }
  }

  /** Runs a request at an instance, which makes its calls by the node beside it. */
  private void run(int service, boolean repeat, double share) {
    repeats[service][now / SLOT_MILLIS] += repeat ? 1 : 0;
    int beside = randomHostOf(service);
    nodes.get(beside).recordRunStart(now * MILLI);
    if (service + 1 < requests.length) {
      for (double left = scenario.callsPerRun(); random.nextDouble() < left; left--) {
        send(beside, service + 1, repeat);
      }
    }
    nodes.get(beside).recordRunEnd(id(service), share, true, now * MILLI);
  }

  /** A random node beside an instance of a service. */
  private int randomHostOf(int service) {
    int services = requests.length;
    int hosts = (nodes.size() - service + services - 1) / services;
    return service + services * random.nextInt(hosts);
  }

  /** The service of the instance beside a node. */
  private int serviceOf(int node) {
    return node % requests.length;
  }

  private static ServiceId id(int service) {
    return new ServiceId("s" + service);
  }

  /**
   * Repeats in the fullest window as a part of what is allowed in it; above 1 the budget is broken.
   */
  double peakBudgetUse(int service) {
    return maxOverWindows(slot -> sum(repeats[service], slot) / allowed(service, slot));
  }

  /** Repeats of a service in the fullest window. */
  double peakRepeats(int service) {
    return maxOverWindows(slot -> sum(repeats[service], slot));
  }

  private double maxOverWindows(ToDoubleFunction<Integer> measure) {
    double most = 0;
    for (int slot = 0; slot + WINDOW_SLOTS <= requests[0].length; slot++) {
      most = Math.max(most, measure.applyAsDouble(slot));
    }
    return most;
  }

  /**
   * The requests are those of this window, of the one before or of that half a window before. First
   * calls of upstreams count as requests, calls of repeated runs as repeats only.
   */
  private double allowed(int service, int slot) {
    int most =
        Math.max(
            sum(requests[service], slot),
            Math.max(
                sum(requests[service], slot - WINDOW_SLOTS / 2),
                sum(requests[service], slot - WINDOW_SLOTS)));
    return FLEET_FLOOR + BUDGET_SHARE * most;
  }

  private static int sum(int[] counts, int from) {
    int sum = 0;
    for (int slot = Math.max(0, from); slot < from + WINDOW_SLOTS; slot++) {
      sum += counts[slot];
    }
    return sum;
  }
}
