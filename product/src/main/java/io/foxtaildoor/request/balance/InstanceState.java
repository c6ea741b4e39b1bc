package io.foxtaildoor.request.balance;

import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import java.time.Duration;

/**
 * State of one instance as observed by this node; guarded by the lock of its {@link
 * ServiceBalancer}.
 */
final class InstanceState {
  /**
   * Number of consecutive successes after which earlier ejections no longer lengthen the next one.
   */
  private static final int SUCCESSES_TO_RESET_EJECTIONS = 20;

  /** Upper bound of the back-off exponent, so that the shift cannot overflow. */
  private static final int MAX_BACKOFF_EXPONENT = 16;

  private final BalanceSettings settings;
  private NodeRecord node;
  private int inFlight;
  private boolean hasLatencySample;
  private double latencyNanos;
  private long latencySampledAtNanos;
  private ReportedLoad loadReport;
  private int inFlightAtReport;
  private long reportedAtNanos;
  private int consecutiveFailures;
  private int consecutiveSuccesses;
  private int ejectionCount;
  private boolean ejected;
  private long ejectedUntilNanos;
  private boolean restored;
  private long restoredAtNanos;
  private final long[] cooldownUntilNanos = new long[Urgency.LEVEL_COUNT];
  private final boolean[] hasCooldown = new boolean[Urgency.LEVEL_COUNT];

  InstanceState(BalanceSettings settings, NodeRecord node) {
    this.settings = settings;
    this.node = node;
  }

  NodeRecord node() {
    return node;
  }

  /** Replaces the node record by a newer one of the same node. */
  void update(NodeRecord newer) {
    node = newer;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Whether the next request to the instance is a probe that decides whether its ejection ends. */
  boolean awaitsProbe(long nowNanos) {
    return ejected && nowNanos - ejectedUntilNanos >= 0;
  }

  /** Whether the instance may be chosen; an ejected instance admits a single probe at a time. */
  boolean isAvailable(boolean retriable, long nowNanos) {
    if (!ejected) {
      return true;
    }
    long delay = retriable ? 0 : settings.nonRetriableProbeDelay().toNanos();
    return inFlight == 0 && nowNanos - ejectedUntilNanos >= delay;
  }

  /** Whether the instance is skipped because it refused a request of the same or higher urgency. */
  boolean isCoolingDown(Urgency urgency, long nowNanos) {
    for (int level = 0; level <= urgency.level(); level++) {
      if (hasCooldown[level] && cooldownUntilNanos[level] - nowNanos > 0) {
        return true;
      }
    }
    return false;
  }

  /** Skips the instance for a time, for requests of the given or a lower urgency. */
  void startCooldown(Urgency urgency, Duration time, long nowNanos) {
    if (!time.isZero()) {
      hasCooldown[urgency.level()] = true;
      cooldownUntilNanos[urgency.level()] = nowNanos + time.toNanos();
    }
  }

  /**
   * Fraction of its full load that the instance should get at present, greater than 0 and at most
   * 1.
   */
  double loadShare(long nowNanos) {
    long startedAtNanos =
        node.upstream().map(UpstreamAnnouncement::startedAtNanos).orElse(nowNanos);
    if (restored && restoredAtNanos - startedAtNanos > 0) {
      startedAtNanos = restoredAtNanos;
    }
    double progress = (double) (nowNanos - startedAtNanos) / settings.slowStart().toNanos();
    return Math.max(settings.slowStartShare(), Math.min(1.0, progress));
  }

  /**
   * Occupied fraction of the concurrency limit, from this node's own requests and from the load
   * report, weighted by its age.
   */
  double occupancy(long nowNanos) {
    return expectedRequests(nowNanos) / limit(nowNanos);
  }

  /** Relative expected time of one more request; lower is better. */
  double score(double meanNanos, long nowNanos) {
    double pending = (expectedRequests(nowNanos) + 1) / limit(nowNanos);
    return averageLatency(meanNanos, nowNanos) * pending * (1 + consecutiveFailures);
  }

  /**
   * Average latency in nanoseconds; without recent samples it decays to the mean of the service.
   */
  double averageLatency(double meanNanos, long nowNanos) {
    if (!hasLatencySample) {
      return meanNanos;
    }
    double age = nowNanos - latencySampledAtNanos;
    double weight = Math.exp(-age / settings.latencyDecay().toNanos());
    return meanNanos + (latencyNanos - meanNanos) * weight;
  }

  private double expectedRequests(long nowNanos) {
    double weight = reportWeight(nowNanos);
    return weight == 0
        ? inFlight
        : inFlight + weight * Math.max(0, loadReport.occupied() - inFlightAtReport);
  }

  private double limit(long nowNanos) {
    double slots = node.upstream().map(UpstreamAnnouncement::slots).orElse(1);
    double weight = reportWeight(nowNanos);
    if (weight > 0 && loadReport.limit() > 0) {
      slots += weight * (loadReport.limit() - slots);
    }
    return Math.max(1, slots);
  }

  private double reportWeight(long nowNanos) {
    if (loadReport == null) {
      return 0;
    }
    double age = nowNanos - reportedAtNanos;
    return Math.max(0, 1 - age / settings.reportLifetime().toNanos());
  }

  InstanceStatus status(double meanNanos, long nowNanos) {
    return new InstanceStatus(
        node.id(),
        inFlight,
        Duration.ofNanos((long) averageLatency(meanNanos, nowNanos)),
        occupancy(nowNanos),
        loadShare(nowNanos),
        consecutiveFailures,
        ejected);
  }

  void requestStarted() {
    inFlight++;
  }

  void requestEnded() {
    inFlight--;
  }

  void recordLoad(ReportedLoad load, long nowNanos) {
    loadReport = load;
    inFlightAtReport = inFlight;
    reportedAtNanos = nowNanos;
  }

  void recordResponse(long latency, boolean probe, long nowNanos) {
    addLatencySample(latency, nowNanos);
    consecutiveFailures = 0;
    if (ejected && probe) {
      ejected = false;
      restored = true;
      restoredAtNanos = nowNanos;
    }
    consecutiveSuccesses++;
    if (consecutiveSuccesses >= SUCCESSES_TO_RESET_EJECTIONS) {
      ejectionCount = 0;
    }
  }

  private void addLatencySample(long latency, long nowNanos) {
    double age = Math.max(0, nowNanos - latencySampledAtNanos);
    double weight = hasLatencySample ? Math.exp(-age / settings.latencyWindow().toNanos()) : 0;
    latencyNanos = latencyNanos * weight + latency * (1 - weight);
    hasLatencySample = true;
    latencySampledAtNanos = nowNanos;
  }

  /**
   * Records a refusal. Without a fresh load report, the instance counts as full until this
   * assumption expires like a report.
   */
  void recordRefusal(long nowNanos) {
    if (reportWeight(nowNanos) < 1) {
      int slots = node.upstream().map(UpstreamAnnouncement::slots).orElse(1);
      recordLoad(new ReportedLoad(inFlight + slots, slots), nowNanos);
    }
  }

  /**
   * Records a failure, and ejects the instance when the failure requires it and {@code mayEject}
   * allows it.
   */
  void recordFailure(boolean probe, boolean mayEject, long nowNanos) {
    consecutiveFailures++;
    consecutiveSuccesses = 0;
    boolean probeFailed = ejected && probe;
    boolean ejectionDue =
        !ejected && consecutiveFailures >= settings.consecutiveFailures() && mayEject;
    if (probeFailed || ejectionDue) {
      eject(nowNanos);
    }
  }

  private void eject(long nowNanos) {
    int exponent = Math.min(ejectionCount, MAX_BACKOFF_EXPONENT);
    long length = settings.initialEjection().toNanos() << exponent;
    ejected = true;
    ejectionCount++;
    ejectedUntilNanos = nowNanos + Math.min(length, settings.maxEjection().toNanos());
  }
}
