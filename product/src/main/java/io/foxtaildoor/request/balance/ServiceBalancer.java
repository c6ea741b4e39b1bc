package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.process.membership.NodeRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Load balancer for the instances of one service as seen by this node; all package-private methods
 * hold its lock.
 */
final class ServiceBalancer {
  /** Number of locality tiers: own data centre, own region, other regions. */
  private static final int TIERS = 3;

  /**
   * Factor on the score of an instance, by tier: an instance farther away must be expected to be
   * this much faster than a nearer one.
   */
  private static final double[] TIER_PENALTIES = {1.0, 1.25, 2.0};

  /**
   * Instances in farther tiers are considered when the latency of the nearer one is above this
   * multiple of the mean.
   */
  private static final double SLOW_LATENCY_FACTOR = 2.0;

  /** Number of random draws before a tier is scanned for an eligible instance. */
  private static final int MAX_RANDOM_DRAWS = 6;

  /** Weight of one sample in the mean latency of the service. */
  private static final double MEAN_SAMPLE_WEIGHT = 1.0 / 64;

  /** Mean latency assumed before the first sample; only the ratio between instances matters. */
  private static final double INITIAL_MEAN_NANOS = 1_000_000;

  private final BalanceSettings settings;
  private final RegionId region;
  private final DataCentreId dataCentre;
  private List<NodeRecord> lastCandidates = List.of();
  private Map<NodeId, InstanceState> instances = Map.of();
  private List<List<InstanceState>> tiers = emptyTiers();
  private double meanNanos = INITIAL_MEAN_NANOS;
  private boolean hasMeanSample;
  private final InstanceChooser chooser;
  private int roundRobinIndex;

  ServiceBalancer(BalanceSettings settings, RegionId region, DataCentreId dataCentre) {
    this.settings = settings;
    this.region = region;
    this.dataCentre = dataCentre;
    this.chooser =
        settings.selectionMode() == SelectionMode.ROUND_ROBIN
            ? this::nextInTurn
            : this::bestOfTiers;
  }

  synchronized Optional<Selection> choose(
      List<NodeRecord> candidates,
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    updateInstances(candidates);
    InstanceState best = chooser.choose(tried, retriable, urgency, nowNanos, random);
    if (best == null) {
      best = drawIgnoringEjection(tried, urgency, nowNanos, random);
    }
    return Optional.ofNullable(best).map(instance -> select(instance, urgency, nowNanos));
  }

  synchronized Optional<Selection> select(
      List<NodeRecord> candidates, NodeId target, long nowNanos) {
    updateInstances(candidates);
    return Optional.ofNullable(instances.get(target))
        .map(instance -> select(instance, Urgency.HIGHEST, nowNanos));
  }

  private Selection select(InstanceState instance, Urgency urgency, long nowNanos) {
    boolean probe = instance.awaitsProbe(nowNanos);
    instance.requestStarted();
    return new Selection(this, instance, probe, urgency);
  }

  synchronized void report(Selection selection, ReportedLoad load, long nowNanos) {
    selection.instance().recordLoad(load, nowNanos);
  }

  synchronized void finish(
      Selection selection, AttemptResult result, long latencyNanos, long nowNanos) {
    if (!selection.markFinished()) {
      return;
    }
    InstanceState instance = selection.instance();
    instance.requestEnded();
    switch (result) {
      case ANSWERED -> {
        addToMeanLatency(latencyNanos);
        instance.recordResponse(latencyNanos, selection.isProbe(), nowNanos);
      }
      case REFUSED -> {
        instance.recordRefusal(nowNanos);
        instance.startCooldown(selection.urgency(), settings.refusalCooldown(), nowNanos);
      }
      case ABSENT -> {
        instance.recordRefusal(nowNanos);
        instance.startCooldown(Urgency.HIGHEST, settings.absenceCooldown(), nowNanos);
      }
      case UNREACHABLE -> {
        instance.recordFailure(selection.isProbe(), mayEject(), nowNanos);
        instance.startCooldown(Urgency.HIGHEST, settings.absenceCooldown(), nowNanos);
      }
      case FAILED -> instance.recordFailure(selection.isProbe(), mayEject(), nowNanos);
      case ABANDONED -> {}
    }
  }

  synchronized List<InstanceStatus> status(long nowNanos) {
    return instances.values().stream()
        .map(instance -> instance.status(meanNanos, nowNanos))
        .sorted(Comparator.comparing(InstanceStatus::node))
        .toList();
  }

  private boolean mayEject() {
    long ejected = instances.values().stream().filter(InstanceState::isEjected).count();
    return 2 * (ejected + 1) <= instances.size();
  }

  private void addToMeanLatency(long latencyNanos) {
    double weight = hasMeanSample ? MEAN_SAMPLE_WEIGHT : 1;
    meanNanos += (latencyNanos - meanNanos) * weight;
    hasMeanSample = true;
  }

  /**
   * Updates the instances to a changed list of nodes; the state of nodes that are no longer listed
   * is dropped.
   */
  private void updateInstances(List<NodeRecord> candidates) {
    if (candidates == lastCandidates || candidates.equals(lastCandidates)) {
      return;
    }
    Map<NodeId, InstanceState> next = new HashMap<>();
    List<List<InstanceState>> nextTiers = emptyTiers();
    for (NodeRecord node : candidates) {
      InstanceState instance = instances.get(node.id());
      if (instance == null) {
        instance = new InstanceState(settings, node);
      } else {
        instance.update(node);
      }
      next.put(node.id(), instance);
      nextTiers.get(tier(node)).add(instance);
    }
    instances = next;
    tiers = nextTiers;
    lastCandidates = candidates;
  }

  private static List<List<InstanceState>> emptyTiers() {
    List<List<InstanceState>> tiers = new ArrayList<>(TIERS);
    for (int i = 0; i < TIERS; i++) {
      tiers.add(new ArrayList<>());
    }
    return tiers;
  }

  private int tier(NodeRecord node) {
    if (node.dataCentre().equals(dataCentre)) {
      return 0;
    }
    return node.region().equals(region) ? 1 : 2;
  }

  private InstanceState nextInTurn(
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    for (int i = 0; i < lastCandidates.size(); i++) {
      roundRobinIndex = (roundRobinIndex + 1) % lastCandidates.size();
      InstanceState instance = instances.get(lastCandidates.get(roundRobinIndex).id());
      if (isEligible(instance, null, tried, retriable, urgency, nowNanos)) {
        return instance;
      }
    }
    return null;
  }

  private InstanceState bestOfTiers(
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    InstanceState best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int tier = 0; tier < TIERS; tier++) {
      InstanceState candidate =
          bestOfTwo(tiers.get(tier), tried, retriable, urgency, nowNanos, random);
      if (candidate == null) {
        continue;
      }
      double score = candidate.score(meanNanos, nowNanos) * TIER_PENALTIES[tier];
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
      if (!isOverloaded(best, nowNanos)) {
        break;
      }
    }
    return best;
  }

  private boolean isOverloaded(InstanceState instance, long nowNanos) {
    return instance.occupancy(nowNanos) >= settings.spilloverOccupancy()
        || instance.averageLatency(meanNanos, nowNanos) > SLOW_LATENCY_FACTOR * meanNanos;
  }

  private InstanceState bestOfTwo(
      List<InstanceState> tier,
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    InstanceState first = draw(tier, null, tried, retriable, urgency, nowNanos, random);
    InstanceState second =
        first == null ? null : draw(tier, first, tried, retriable, urgency, nowNanos, random);
    if (second == null || first.awaitsProbe(nowNanos)) {
      return first;
    }
    if (second.awaitsProbe(nowNanos)) {
      return second;
    }
    double difference = second.score(meanNanos, nowNanos) - first.score(meanNanos, nowNanos);
    return difference < 0 ? second : first;
  }

  /**
   * Draws an eligible instance at random; an instance in slow start is passed over with a
   * probability that follows from its share.
   */
  private static InstanceState draw(
      List<InstanceState> tier,
      InstanceState other,
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    if (tier.isEmpty()) {
      return null;
    }
    for (int i = 0; i < MAX_RANDOM_DRAWS; i++) {
      InstanceState drawn = tier.get(random.nextInt(tier.size()));
      if (isEligible(drawn, other, tried, retriable, urgency, nowNanos)
          && (drawn.loadShare(nowNanos) >= 1 || random.nextDouble() < drawn.loadShare(nowNanos))) {
        return drawn;
      }
    }
    int offset = random.nextInt(tier.size());
    InstanceState starting = null;
    for (int i = 0; i < tier.size(); i++) {
      InstanceState instance = tier.get((offset + i) % tier.size());
      if (isEligible(instance, other, tried, retriable, urgency, nowNanos)) {
        if (instance.loadShare(nowNanos) >= 1) {
          return instance;
        }
        starting = starting == null ? instance : starting;
      }
    }
    // For the second of the two choices, an instance in slow start is taken only when the random
    // draws above select it.
    return other == null ? starting : null;
  }

  private static boolean isEligible(
      InstanceState instance,
      InstanceState other,
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos) {
    return instance != other
        && !tried.contains(instance.node().id())
        && !instance.isCoolingDown(urgency, nowNanos)
        && instance.isAvailable(retriable, nowNanos);
  }

  /** Draws from all instances that the request has not tried yet, including ejected ones. */
  private InstanceState drawIgnoringEjection(
      Set<NodeId> tried, Urgency urgency, long nowNanos, RandomGenerator random) {
    List<InstanceState> untried = new ArrayList<>();
    for (InstanceState instance : instances.values()) {
      if (!tried.contains(instance.node().id()) && !instance.isCoolingDown(urgency, nowNanos)) {
        untried.add(instance);
      }
    }
    return untried.isEmpty() ? null : untried.get(random.nextInt(untried.size()));
  }
}
