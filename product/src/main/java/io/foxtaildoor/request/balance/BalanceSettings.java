package io.foxtaildoor.request.balance;

import java.time.Duration;

/**
 * Parameters of the upstream selection.
 *
 * @param latencyWindow time constant of the latency average
 * @param latencyDecay time constant with which an instance without samples returns to the mean
 * @param reportLifetime age at which a load report has lost all weight
 * @param slowStart time over which a new or restored instance reaches its full share
 * @param slowStartShare share of a new instance at its start, of 1
 * @param spilloverOccupancy occupied share of the limit at which farther instances are considered
 * @param consecutiveFailures failures in a row that eject an instance
 * @param initialEjection length of the first ejection; doubles with each failed probe
 * @param maxEjection upper bound of an ejection
 * @param nonRetriableProbeDelay further time after which work that cannot be retried may probe
 * @param refusalCooldown time for which an instance that refused a request gets no other one of the
 *     same or lower urgency
 * @param absenceCooldown time for which an instance that could not be reached or is leaving is
 *     skipped
 * @param selection how an instance is chosen
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
  /** The values of the design page and, where it leaves them open, those of the comparison tool. */
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

  /** The same settings with another slow start and with times for which instances are skipped. */
  public BalanceSettings withSlowStartAndCooldowns(
      Duration time, Duration afterRefusal, Duration afterAbsence) {
    return new BalanceSettings(
        latencyWindow,
        latencyDecay,
        reportLifetime,
        time,
        slowStartShare,
        spilloverOccupancy,
        consecutiveFailures,
        initialEjection,
        maxEjection,
        nonRetriableProbeDelay,
        afterRefusal,
        afterAbsence,
        selectionMode);
  }

  /** The same settings with another way to choose an instance. */
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
