package io.foxtaildoor.request.retry;

import java.util.function.LongToDoubleFunction;
import java.util.function.Supplier;

/** Retry budget of one service over a decaying window; safe for use by several threads. */
public final class RetryBudget {
  private final Supplier<RetrySettings> settings;
  private final LongToDoubleFunction floor;
  private double requests;
  private double retries;
  private long decayedAtNanos;
  private RetryCounts counts = RetryCounts.NONE;

  /** Creates a budget with an empty window. */
  public RetryBudget(RetrySettings settings, long nowNanos) {
    this(() -> settings, now -> settings.budgetFloor(), nowNanos);
  }

  RetryBudget(Supplier<RetrySettings> settings, LongToDoubleFunction floor, long nowNanos) {
    this.settings = settings;
    this.floor = floor;
    this.decayedAtNanos = nowNanos;
  }

  /** Counts a request; its retries are not counted here. */
  public synchronized void requested(RequestOrigin origin, long nowNanos) {
    decay(nowNanos);
    requests++;
    counts = counts.plusRequest(origin);
  }

  /** Takes one retry from the budget when it is not used up. */
  public synchronized boolean tryRetry(long nowNanos) {
    decay(nowNanos);
    if (retries + 1 > floor.applyAsDouble(nowNanos) + settings.get().budgetShare() * requests) {
      counts = counts.plusDenied();
      return false;
    }
    retries++;
    counts = counts.plusGranted();
    return true;
  }

  /** What was counted since the creation. */
  synchronized RetryCounts counts() {
    return counts;
  }

  private void decay(long nowNanos) {
    long age = nowNanos - decayedAtNanos;
    if (age <= 0) {
      return;
    }
    double weight = Math.exp(-age / (double) settings.get().budgetWindow().toNanos());
    requests *= weight;
    retries *= weight;
    decayedAtNanos = nowNanos;
  }
}
