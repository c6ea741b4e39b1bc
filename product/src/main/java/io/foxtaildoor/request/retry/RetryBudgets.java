package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ServiceId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The retry budgets of all services; safe for use by several threads. */
public final class RetryBudgets {
  private final RetrySettings settings;
  private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Creates budgets with equal settings for every service. */
  public RetryBudgets(RetrySettings settings) {
    this.settings = settings;
  }

  /** The budget of a service. */
  public RetryBudget of(ServiceId service, long nowNanos) {
    return budgets.computeIfAbsent(service, id -> new RetryBudget(settings, nowNanos));
  }

  /** Forgets the services that are no longer in the configuration. */
  public void retainServices(Predicate<ServiceId> known) {
    budgets.keySet().removeIf(known.negate());
  }
}
