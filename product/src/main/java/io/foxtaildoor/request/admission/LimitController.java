package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/**
 * Adaptive concurrency limit of an upstream, with additive increase, multiplicative decrease and a
 * ramp-up during the cold start of an instance.
 */
final class LimitController {
  /** Weight of a sample in the moving average of the ratio of the latency to its long-term mean. */
  private static final double SHORT_TERM_WEIGHT = 1.0 / 16;

  /**
   * Weight of a sample in the long-term mean latency. After a lasting change of the workload, the
   * mean adapts within some hundred requests, so the change does not hold the limit down forever.
   */
  private static final double LONG_TERM_WEIGHT = 1.0 / 256;

  /**
   * Fraction of the slots below which growing latency alone never lowers the limit. Latency also
   * grows when something behind the upstream is slow, where a lower limit gives no relief.
   */
  private static final double LATENCY_FLOOR_SHARE = 0.5;

  private final AdmissionSettings settings;
  private final Map<Rank, Double> meanLatencyNanos = new EnumMap<>(Rank.class);
  private UpstreamLimits limits;
  private double limit;
  private double latencyRatio = 1;
  private long lastDecreaseNanos;
  private boolean hasDecreased;

  LimitController(AdmissionSettings settings, UpstreamLimits limits) {
    this.settings = settings;
    this.limits = limits;
    this.limit = limits.slots();
  }

  void configure(UpstreamLimits newLimits) {
    boolean sameInstance = newLimits.startedAtNanos() == limits.startedAtNanos();
    limits = newLimits;
    // Only a new instance starts with all slots, capped by its cold start. On a running instance,
    // additional slots are approached by additive increase, and fewer slots take effect at once.
    limit = sameInstance ? Math.max(1, Math.min(limit, newLimits.slots())) : newLimits.slots();
  }

  /** Maximum number of requests that may be in flight at the given time. */
  int currentLimit(long nowNanos) {
    return (int) Math.max(1, Math.min(limit, coldStartLimit(nowNanos)));
  }

  /** Upper bound of the limit during the cold start; grows linearly from one slot to all slots. */
  private double coldStartLimit(long nowNanos) {
    long age = nowNanos - limits.startedAtNanos();
    if (age >= limits.coldStartNanos()) {
      return limits.slots();
    }
    double progress = Math.max(0, age) / (double) limits.coldStartNanos();
    return 1 + progress * (limits.slots() - 1);
  }

  /**
   * Records a response that arrived in time; {@code latencyNanos} is the time to the response head.
   */
  void recordResponse(Rank rank, long latencyNanos, long nowNanos) {
    double latency = Math.max(1, (double) latencyNanos);
    double meanLatency = meanLatencyNanos.getOrDefault(rank, latency);
    latencyRatio += SHORT_TERM_WEIGHT * (latency / meanLatency - latencyRatio);
    meanLatencyNanos.put(rank, meanLatency + LONG_TERM_WEIGHT * (latency - meanLatency));
    if (latencyRatio > settings.slowRatio()) {
      decrease(settings.slowFactor(), limits.slots() * LATENCY_FLOOR_SHARE, nowNanos, latencyNanos);
    } else {
      limit = Math.min(limits.slots(), limit + 1 / limit);
    }
  }

  /** Records that the upstream refused a request because it is overloaded. */
  void recordShedding(long latencyNanos, long nowNanos) {
    decrease(settings.shedFactor(), 1, nowNanos, latencyNanos);
  }

  /**
   * Lowers the limit at most once per round trip, because all responses of one round trip reflect
   * the same load.
   */
  private void decrease(double factor, double floor, long nowNanos, long roundTripNanos) {
    if (hasDecreased && nowNanos - lastDecreaseNanos < roundTripNanos) {
      return;
    }
    hasDecreased = true;
    lastDecreaseNanos = nowNanos;
    limit = Math.max(Math.min(limit, Math.max(1, floor)), limit * factor);
  }
}
