package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Concurrency limit of an upstream: additive increase, multiplicative decrease, cold start. */
final class LimitController {
  /** Weight of a sample in the short-term ratio of latency to its long-term mean. */
  private static final double SHORT_TERM_WEIGHT = 1.0 / 16;

  /**
   * Weight of a sample in the long-term mean latency. A lasting change of the work becomes the new
   * normal after some hundred requests, so it does not hold the limit down for ever.
   */
  private static final double LONG_TERM_WEIGHT = 1.0 / 256;

  /**
   * Part of the slots that latency alone never takes away. Latency also grows when something behind
   * the upstream is slow, where a lower limit gives no relief.
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
    // Only a new instance starts with all slots, below its cold start. More slots of a running one
    // are approached by additive increase; fewer take effect at once.
    limit = sameInstance ? Math.max(1, Math.min(limit, newLimits.slots())) : newLimits.slots();
  }

  /** The largest number of requests that may be in flight now. */
  int currentLimit(long nowNanos) {
    return (int) Math.max(1, Math.min(limit, coldStartLimit(nowNanos)));
  }

  /** Grows linearly from one slot to all over the cold start. */
  private double coldStartLimit(long nowNanos) {
    long age = nowNanos - limits.startedAtNanos();
    if (age >= limits.coldStartNanos()) {
      return limits.slots();
    }
    double part = Math.max(0, age) / (double) limits.coldStartNanos();
    return 1 + part * (limits.slots() - 1);
  }

  /** A request was answered in time; {@code latencyNanos} is the time to the head of the answer. */
  void recordResponse(Rank rank, long latencyNanos, long nowNanos) {
    double latency = Math.max(1, (double) latencyNanos);
    double normal = meanLatencyNanos.getOrDefault(rank, latency);
    latencyRatio += SHORT_TERM_WEIGHT * (latency / normal - latencyRatio);
    meanLatencyNanos.put(rank, normal + LONG_TERM_WEIGHT * (latency - normal));
    if (latencyRatio > settings.slowRatio()) {
      decrease(settings.slowFactor(), limits.slots() * LATENCY_FLOOR_SHARE, nowNanos, latencyNanos);
    } else {
      limit = Math.min(limits.slots(), limit + 1 / limit);
    }
  }

  /** The upstream refused a request because it has too much work. */
  void recordShedding(long latencyNanos, long nowNanos) {
    decrease(settings.shedFactor(), 1, nowNanos, latencyNanos);
  }

  /** Lowers the limit once for each round trip, because its answers all tell the same. */
  private void decrease(double factor, double floor, long nowNanos, long roundTripNanos) {
    if (hasDecreased && nowNanos - lastDecreaseNanos < roundTripNanos) {
      return;
    }
    hasDecreased = true;
    lastDecreaseNanos = nowNanos;
    limit = Math.max(Math.min(limit, Math.max(1, floor)), limit * factor);
  }
}
