package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongToDoubleFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** The retry budgets of all services; safe for use by several threads. */
public final class RetryBudgets {
  private final Supplier<RetrySettings> settings;
  private final LongToDoubleFunction floor;
  private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Creates budgets with equal settings for every service. */
  public RetryBudgets(RetrySettings settings) {
    this(() -> settings, now -> settings.budgetFloor());
  }

  /**
   * Creates budgets whose settings may change, and whose floor changes with the number of nodes
   * that share it.
   *
   * @param settings asked for each retry
   * @param floor by the present time, retries that this node may make in the window whatever the
   *     number of requests
   */
  public RetryBudgets(Supplier<RetrySettings> settings, LongToDoubleFunction floor) {
    this.settings = settings;
    this.floor = floor;
  }

  /** The budget of a service. */
  public RetryBudget of(ServiceId service, long nowNanos) {
    return budgets.computeIfAbsent(service, id -> new RetryBudget(settings, floor, nowNanos));
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
