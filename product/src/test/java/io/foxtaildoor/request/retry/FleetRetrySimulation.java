package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Simulates the retries of many nodes in virtual time. Clients send requests to every service of a
 * call chain, and every run of a service calls the next service through the node on its own host.
 * Requests and repeats are counted over the whole fleet, as in a deployment.
 */
final class FleetRetrySimulation {
  static final Duration WINDOW = Duration.ofSeconds(10);
  static final double BUDGET_SHARE = 0.2;
  static final double FLEET_FLOOR = 60;

  /** Fraction of the fleet's budget that the nodes are configured to use. */
  private static final double BUDGET_SAFETY_FACTOR = 0.8;

  private static final double FLOOR_SAFETY_FACTOR = 0.25;

  private static final int ATTEMPTS = 3;
  private static final long MILLI = 1_000_000;
  private static final int SLOT_MILLIS = 100;
  private static final int WINDOW_SLOTS = (int) (WINDOW.toMillis() / SLOT_MILLIS);

  /**
   * Parameters of a simulation.
   *
   * @param clientsPerSecond client requests per second to each service of the chain
   * @param callsPerRun average number of calls that a run makes to the next service
   * @param failures probability that a request fails at a service, by time in milliseconds
   * @param restartEveryMillis interval at which all nodes restart and at first know only
   *     themselves; 0 for never
   */
  record Scenario(
      int nodes,
      int seconds,
      List<Double> clientsPerSecond,
      double callsPerRun,
      Failures failures,
      int restartEveryMillis) {}

  /** Probability that a request that arrives at a service of the chain fails. */
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

  /** Runs the simulation to its end. */
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

  /** Creates a node's budgets with the settings that the node process uses. */
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

  /**
   * Number of nodes that each node knows. Nodes that start together discover each other within two
   * seconds.
   */
  private int knownNodes() {
    return now - startedMillis < 2_000 ? 1 : scenario.nodes();
  }

  private void sendClientRequests(int service) {
    double expected = scenario.clientsPerSecond().get(service) / 1_000;
    for (double remaining = expected; random.nextDouble() < remaining; remaining--) {
      send(random.nextInt(nodes.size()), service, false);
    }
  }

  /**
   * Sends a request through a node and retries it as long as the node's budget admits it.
   *
   * @param calledByRepeat whether a repeated run makes the request
   */
  private void send(int sender, int service, boolean calledByRepeat) {
    RetryBudgets node = nodes.get(sender);
    long nanos = now * MILLI;
    requests[service][now / SLOT_MILLIS] += calledByRepeat ? 0 : 1;
    // Clients use the same deadlines as runs, so no request can be recognised as a client request.
    double repeatProbability =
        node.recordRequest(id(service), Optional.of(id(serviceOf(sender))), nanos, nanos);
    boolean repeat = calledByRepeat;
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      run(service, repeat, repeatProbability);
      boolean failed = random.nextDouble() < scenario.failures().at(service, now);
      if (!failed || attempt == ATTEMPTS || !node.tryAcquire(id(service), nanos)) {
        return;
      }
      repeat = true;
      repeatProbability = 1;
    }
  }

  /**
   * Runs a request at an instance of a service; the run makes its calls through the node on the
   * same host.
   */
  private void run(int service, boolean repeat, double repeatProbability) {
    repeats[service][now / SLOT_MILLIS] += repeat ? 1 : 0;
    int localNode = randomHostOf(service);
    nodes.get(localNode).recordRunStart(now * MILLI);
    if (service + 1 < requests.length) {
      for (double remaining = scenario.callsPerRun();
          random.nextDouble() < remaining;
          remaining--) {
        send(localNode, service + 1, repeat);
      }
    }
    nodes.get(localNode).recordRunEnd(id(service), repeatProbability, true, now * MILLI);
  }

  /** Returns a random node on the host of an instance of a service. */
  private int randomHostOf(int service) {
    int services = requests.length;
    int hosts = (nodes.size() - service + services - 1) / services;
    return service + services * random.nextInt(hosts);
  }

  /** Returns the service whose instance runs on the host of a node. */
  private int serviceOf(int node) {
    return node % requests.length;
  }

  private static ServiceId id(int service) {
    return new ServiceId("s" + service);
  }

  /**
   * Largest ratio, over all windows, of the repeats of a service to the repeats allowed; above 1
   * the budget was exceeded.
   */
  double peakBudgetUse(int service) {
    return maxOverWindows(slot -> sum(repeats[service], slot) / allowed(service, slot));
  }

  /** Largest number of repeats of a service in any window. */
  double peakRepeats(int service) {
    return maxOverWindows(slot -> sum(repeats[service], slot));
  }

  private double maxOverWindows(ToDoubleFunction<Integer> measure) {
    double peak = 0;
    for (int slot = 0; slot + WINDOW_SLOTS <= requests[0].length; slot++) {
      peak = Math.max(peak, measure.applyAsDouble(slot));
    }
    return peak;
  }

  /**
   * Number of repeats allowed in a window: the floor plus the budget share of the requests. The
   * requests are the most of this window, the one before, and the one that begins half a window
   * earlier. First calls of upstreams count as requests; calls made by repeated runs count as
   * repeats only.
   */
  private double allowed(int service, int slot) {
    int peak =
        Math.max(
            sum(requests[service], slot),
            Math.max(
                sum(requests[service], slot - WINDOW_SLOTS / 2),
                sum(requests[service], slot - WINDOW_SLOTS)));
    return FLEET_FLOOR + BUDGET_SHARE * peak;
  }

  private static int sum(int[] counts, int from) {
    int sum = 0;
    for (int slot = Math.max(0, from); slot < from + WINDOW_SLOTS; slot++) {
      sum += counts[slot];
    }
    return sum;
  }
}
