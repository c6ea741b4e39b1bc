package io.foxtaildoor.process.node;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.upstream.Arrivals;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.request.retry.RetryBudgets;
import io.foxtaildoor.request.retry.RetryCounts;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Logs a line for each second in which retries were requested or charged, and counts the retries in
 * metrics. The retry budget is shared by the fleet, so exceeding it can be seen only in the sum
 * over the log lines of all nodes.
 */
final class RetryReporter {
  private static final Logger LOGGER = System.getLogger(RetryReporter.class.getName());

  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  private final RetryBudgets budgets;
  private final Supplier<Arrivals> arrivals;
  private final FleetView fleet;
  private final TaskScheduler scheduler;
  private final MeterRegistry registry;
  private final Map<ServiceId, RetryCounts> lastCounts = new HashMap<>();
  private Arrivals lastArrivals = new Arrivals(0, 0);

  RetryReporter(
      RetryBudgets budgets,
      Supplier<Arrivals> arrivals,
      FleetView fleet,
      TaskScheduler scheduler,
      MeterRegistry registry) {
    this.budgets = budgets;
    this.arrivals = arrivals;
    this.fleet = fleet;
    this.scheduler = scheduler;
    this.registry = registry;
  }

  /** Starts to report; ends when the scheduler is shut down. */
  void start() {
    scheduler.schedule(REPORT_INTERVAL.toNanos(), this::report);
  }

  private void report() {
    scheduler.schedule(REPORT_INTERVAL.toNanos(), this::report);
    Map<ServiceId, RetryCounts> counts = budgets.counts();
    lastCounts.keySet().retainAll(counts.keySet());
    counts.forEach(this::logRetries);
    logArrivals(arrivals.get());
  }

  private void logRetries(ServiceId service, RetryCounts counts) {
    RetryCounts previous = lastCounts.getOrDefault(service, RetryCounts.NONE);
    if (counts.requestedRetries() == previous.requestedRetries()
        && counts.charged() - previous.charged() < 1) {
      return;
    }
    lastCounts.put(service, counts);
    // The counts of a service that was removed and added again start from 0.
    boolean wasReset = counts.requests() < previous.requests();
    RetryCounts added = wasReset ? counts : counts.since(previous);
    count("granted", service, added.granted());
    count("denied", service, added.denied());
    LOGGER.log(
        Level.INFO,
        () ->
            String.format(
                Locale.ROOT,
                "retries to service %s: granted %d, denied %d, charged for calls of the upstream"
                    + " %.1f; since the start: requests %d, granted %d, denied %d; nodes known %d",
                service.value(),
                added.granted(),
                added.denied(),
                added.charged(),
                counts.requests(),
                counts.granted(),
                counts.denied(),
                fleet.nodes().size()));
  }

  private void count(String outcome, ServiceId service, long retries) {
    registry
        .counter("foxtaildoor.retry." + outcome, "service", service.value())
        .increment((double) retries);
  }

  private void logArrivals(Arrivals now) {
    long repeated = now.repeated() - lastArrivals.repeated();
    if (repeated > 0) {
      LOGGER.log(
          Level.INFO,
          () ->
              String.format(
                  Locale.ROOT,
                  "repeated requests handed to the upstream: %d; since the start: first %d,"
                      + " repeated %d",
                  repeated,
                  now.first(),
                  now.repeated()));
    }
    lastArrivals = now;
  }
}
