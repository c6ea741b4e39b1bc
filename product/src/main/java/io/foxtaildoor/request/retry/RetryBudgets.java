package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongToDoubleFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Retry budgets of all services at one node. Thread-safe.
 *
 * <p>The budget of the whole fleet is kept without a coordinator: each node admits retries as a
 * share of the requests that it sends itself, so the retries of all nodes add up to the same share
 * of all requests, whatever the number of nodes. Calls made by a repeated run are repeats as well,
 * but upstreams do not state for which request they make a call. A node therefore sends with each
 * request the probability that it is a repeat. For each run of its own upstream, it charges the
 * average number of calls per run, multiplied by that probability.
 */
public final class RetryBudgets {
  private final Supplier<RetrySettings> settings;
  private final LongToDoubleFunction nodeFloor;
  private final LocalUpstreamRuns localRuns;
  private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Creates budgets with fixed settings, the same for every service. */
  public RetryBudgets(RetrySettings settings, long nowNanos) {
    this(() -> settings, now -> settings.budgetFloor(), nowNanos);
  }

  /**
   * Creates budgets with settings that may change.
   *
   * @param settings supplies the current settings; called for each retry
   * @param floor maps the current time to the number of retries of each service that this node may
   *     make in the window whatever the number of requests
   */
  public RetryBudgets(Supplier<RetrySettings> settings, LongToDoubleFunction floor, long nowNanos) {
    this.settings = settings;
    this.nodeFloor = floor;
    this.localRuns = new LocalUpstreamRuns(settings.get().budgetWindow(), nowNanos);
  }

  /**
   * Counts a request that this node is about to send; its retries are not counted here.
   *
   * @param local service of the upstream on this host, which may have made the request
   * @param deadlineNanos deadline of the request on the monotonic clock
   * @return probability, from 0 to 1, that the request is a call made by a repeated run
   */
  public double recordRequest(
      ServiceId service, Optional<ServiceId> local, long deadlineNanos, long nowNanos) {
    boolean mayBeCall = mayBeCall(service, local, deadlineNanos);
    double repeatProbability = mayBeCall ? localRuns.repeatShare(nowNanos) : 0;
    budgetOf(service, nowNanos).recordRequest(mayBeCall, repeatProbability, nowNanos);
    return repeatProbability;
  }

  /**
   * Returns whether a run of the local upstream may have made a request.
   *
   * @param local service of the upstream on this host
   * @param deadlineNanos deadline of the request on the monotonic clock
   */
  public boolean mayBeCall(ServiceId service, Optional<ServiceId> local, long deadlineNanos) {
    // Assumes that services do not call themselves: most requests to the local service come from
    // clients.
    boolean isOtherService = local.isPresent() && !local.get().equals(service);
    return isOtherService && localRuns.mayHaveMadeRequest(deadlineNanos);
  }

  /**
   * Takes one retry of a request to a service from the budget of the service; returns false when
   * there is no room for it.
   */
  public boolean tryAcquire(ServiceId service, long nowNanos) {
    return budgetOf(service, nowNanos)
        .tryAcquire(nodeFloor.applyAsDouble(nowNanos), settings.get(), nowNanos);
  }

  /** Records the start of a run of the local upstream, with its deadline. */
  public void recordRunStart(long deadlineNanos) {
    localRuns.recordStart(deadlineNanos);
  }

  /**
   * Records the end of a run of the local upstream, and charges its calls as far as they are
   * repeats.
   *
   * @param service service of the local upstream
   * @param repeatProbability probability, from 0 to 1, that the run is a repeat
   */
  public void recordRunEnd(
      ServiceId service, double repeatProbability, boolean idempotent, long nowNanos) {
    localRuns.recordEnd(repeatProbability, idempotent, nowNanos);
    if (repeatProbability > 0) {
      double runs = localRuns.attributedRuns(nowNanos);
      budgets.forEach(
          (called, budget) -> {
            if (!called.equals(service)) {
              double callsPerRun = budget.possibleUpstreamCalls(nowNanos) / runs;
              budget.charge(repeatProbability * callsPerRun, nowNanos);
            }
          });
    }
  }

  private RetryBudget budgetOf(ServiceId service, long nowNanos) {
    return budgets.computeIfAbsent(
        service, id -> new RetryBudget(settings.get().budgetWindow(), nowNanos));
  }

  /** Returns the counts of each service since its first request. */
  public Map<ServiceId, RetryCounts> counts() {
    Map<ServiceId, RetryCounts> counts = new HashMap<>();
    budgets.forEach((service, budget) -> counts.put(service, budget.counts()));
    return counts;
  }

  /** Drops the budgets of services that are no longer in the configuration. */
  public void retainServices(Predicate<ServiceId> known) {
    budgets.keySet().removeIf(known.negate());
  }
}
