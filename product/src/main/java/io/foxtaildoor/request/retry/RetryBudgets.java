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
 * The retry budgets of all services at one node; safe for use by several threads.
 *
 * <p>The budget of a fleet is kept without a coordinator. Each node admits retries as a share of
 * the requests that it sends itself, so the shares add up to that of the fleet whatever its size.
 * Calls that a repeated run makes are repeats as well, but upstreams do not tell for which request
 * they make a call. A node therefore tells with each request how probable it is that it is a
 * repeat, and charges for each run of its own upstream, by that probability, the calls that runs
 * make on average.
 */
public final class RetryBudgets {
  private final Supplier<RetrySettings> settings;
  private final LongToDoubleFunction floor;
  private final LocalUpstreamRuns localRuns;
  private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Creates budgets with equal settings for every service. */
  public RetryBudgets(RetrySettings settings, long nowNanos) {
    this(() -> settings, now -> settings.budgetFloor(), nowNanos);
  }

  /**
   * Creates budgets.
   *
   * @param settings asked for each retry
   * @param floor by the present time, retries of each service that this node may make in the window
   *     whatever the number of requests
   */
  public RetryBudgets(Supplier<RetrySettings> settings, LongToDoubleFunction floor, long nowNanos) {
    this.settings = settings;
    this.floor = floor;
    this.localRuns = new LocalUpstreamRuns(settings.get().budgetWindow(), nowNanos);
  }

  /**
   * Counts a request that this node is going to send; its retries are not counted here.
   *
   * @param local service of the upstream on this host, which may have made the request
   * @param deadlineNanos monotonic time of the request's deadline
   * @return probability that the request is a call of a repeated run, from 0 to 1
   */
  public double recordRequest(
      ServiceId service, Optional<ServiceId> local, long deadlineNanos, long nowNanos) {
    // Services are taken not to call themselves; most requests to the own service are of clients.
    boolean other = local.isPresent() && !local.get().equals(service);
    boolean mayBeCall = other && localRuns.mayHaveMadeRequest(deadlineNanos);
    double repeatShare = mayBeCall ? localRuns.repeatShare(nowNanos) : 0;
    budgetOf(service, nowNanos).recordRequest(mayBeCall, repeatShare, nowNanos);
    return repeatShare;
  }

  /** Takes one retry of a request to a service from its budget. */
  public boolean tryAcquire(ServiceId service, long nowNanos) {
    return budgetOf(service, nowNanos)
        .tryAcquire(floor.applyAsDouble(nowNanos), settings.get(), nowNanos);
  }

  /** Takes the deadline of a run of the local upstream that begins. */
  public void recordRunStart(long deadlineNanos) {
    localRuns.recordStart(deadlineNanos);
  }

  /**
   * Counts a run of the local upstream at its end.
   *
   * @param service service of the upstream
   * @param repeatShare probability that the run is a repeat, from 0 to 1
   */
  public void recordRunEnd(
      ServiceId service, double repeatShare, boolean idempotent, long nowNanos) {
    localRuns.recordEnd(repeatShare, idempotent, nowNanos);
    if (repeatShare > 0) {
      double callers = localRuns.attributedRuns(nowNanos);
      budgets.forEach(
          (called, budget) -> {
            if (!called.equals(service)) {
              double callsPerRun = budget.possibleUpstreamCalls(nowNanos) / callers;
              budget.charge(repeatShare * callsPerRun, nowNanos);
            }
          });
    }
  }

  private RetryBudget budgetOf(ServiceId service, long nowNanos) {
    return budgets.computeIfAbsent(
        service, id -> new RetryBudget(settings.get().budgetWindow(), nowNanos));
  }

  /** What was counted for each service since it is known. */
  public Map<ServiceId, RetryCounts> counts() {
    Map<ServiceId, RetryCounts> counts = new HashMap<>();
    budgets.forEach((service, budget) -> counts.put(service, budget.counts()));
    return counts;
  }

  /** Forgets the services that are no longer in the configuration. */
  public void retainServices(Predicate<ServiceId> known) {
    budgets.keySet().removeIf(known.negate());
  }
}
