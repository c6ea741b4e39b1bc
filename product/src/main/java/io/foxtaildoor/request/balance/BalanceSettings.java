package io.foxtaildoor.request.balance;

import java.time.Duration;

/**
 * Settings of the upstream selection.
 *
 * @param latencyWindow time constant of the moving average of the latency
 * @param latencyDecay time constant with which the average latency of an instance without new
 *     samples returns to the mean of the service
 * @param reportLifetime age at which a load report no longer has any weight
 * @param slowStart time over which a new or restored instance reaches its full share of the load
 * @param slowStartShare share of the load that a new instance gets at its start, as a fraction of
 *     its full share
 * @param spilloverOccupancy occupied fraction of the concurrency limit at which instances farther
 *     away are considered
 * @param consecutiveFailures number of consecutive failures after which an instance is ejected
 * @param initialEjection duration of the first ejection; doubles with each failed probe
 * @param maxEjection maximum duration of an ejection
 * @param nonRetriableProbeDelay additional time after which a request that cannot be retried may
 *     probe an ejected instance
 * @param refusalCooldown time for which an instance that refused a request gets no other request of
 *     the same or lower urgency
 * @param absenceCooldown time for which an instance that could not be reached or is shutting down
 *     is skipped
 * @param selectionMode how an instance is chosen
 */
public record BalanceSettings(
    Duration latencyWindow,
    Duration latencyDecay,
    Duration reportLifetime,
    Duration slowStart,
    double slowStartShare,
    double spilloverOccupancy,
    int consecutiveFailures,
    Duration initialEjection,
    Duration maxEjection,
    Duration nonRetriableProbeDelay,
    Duration refusalCooldown,
    Duration absenceCooldown,
    SelectionMode selectionMode) {
  /**
   * Default settings: the values of the design page and, where it leaves them open, those of the
   * comparison tool.
   */
  public static BalanceSettings defaults() {
    return new BalanceSettings(
        Duration.ofSeconds(2),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        0.1,
        0.75,
        5,
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        Duration.ofSeconds(5),
        Duration.ZERO,
        Duration.ZERO,
        SelectionMode.POWER_OF_TWO);
  }

  /**
   * Returns these settings with another slow start and other times for which instances are skipped.
   */
  public BalanceSettings withSlowStartAndCooldowns(
      Duration newSlowStart, Duration newRefusalCooldown, Duration newAbsenceCooldown) {
    return new BalanceSettings(
        latencyWindow,
        latencyDecay,
        reportLifetime,
        newSlowStart,
        slowStartShare,
        spilloverOccupancy,
        consecutiveFailures,
        initialEjection,
        maxEjection,
        nonRetriableProbeDelay,
        newRefusalCooldown,
        newAbsenceCooldown,
        selectionMode);
  }

  /** Returns these settings with another selection mode. */
  public BalanceSettings withSelectionMode(SelectionMode other) {
    return new BalanceSettings(
        latencyWindow,
        latencyDecay,
        reportLifetime,
        slowStart,
        slowStartShare,
        spilloverOccupancy,
        consecutiveFailures,
        initialEjection,
        maxEjection,
        nonRetriableProbeDelay,
        refusalCooldown,
        absenceCooldown,
        other);
  }
}
