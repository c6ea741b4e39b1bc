package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.NodeRecord;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream instance for each request by the power of two choices. Thread-safe.
 *
 * <p>The candidates are the nodes that, according to the cluster membership, accept requests for
 * the service. An ejected instance is chosen only when no other instance is available.
 */
public final class UpstreamSelector {
  private final BalanceSettings settings;
  private final RegionId region;
  private final DataCentreId dataCentre;
  private final Map<ServiceId, ServiceBalancer> services = new ConcurrentHashMap<>();

  /** Creates the selector of a node in the given region and data centre. */
  public UpstreamSelector(BalanceSettings settings, RegionId region, DataCentreId dataCentre) {
    this.settings = settings;
    this.region = region;
    this.dataCentre = dataCentre;
  }

  /**
   * Chooses an instance that the request has not tried yet, and counts the request as in flight on
   * it.
   *
   * @param retriable whether the request could be retried after a failure; such requests are the
   *     first to probe ejected instances
   * @return the selection; empty when every candidate was tried
   */
  public Optional<Selection> choose(
      ServiceId service,
      List<NodeRecord> candidates,
      Set<NodeId> tried,
      boolean retriable,
      long nowNanos,
      RandomGenerator random) {
    return choose(service, candidates, tried, retriable, Urgency.HIGHEST, nowNanos, random);
  }

  /**
   * Chooses an instance like the method without an urgency, but skips instances that recently
   * refused a request of the same or higher urgency.
   *
   * @return the selection; empty when every candidate was tried or is skipped
   */
  public Optional<Selection> choose(
      ServiceId service,
      List<NodeRecord> candidates,
      Set<NodeId> tried,
      boolean retriable,
      Urgency urgency,
      long nowNanos,
      RandomGenerator random) {
    return balancerOf(service).choose(candidates, tried, retriable, urgency, nowNanos, random);
  }

  /**
   * Counts a request as in flight on a given instance, which an idempotency key or an earlier
   * attempt determined.
   *
   * @return the selection; empty when the node is not among the candidates
   */
  public Optional<Selection> select(
      ServiceId service, List<NodeRecord> candidates, NodeId target, long nowNanos) {
    return balancerOf(service).select(candidates, target, nowNanos);
  }

  /** Records the load that was reported with a response head or a refusal. */
  public void report(Selection selection, ReportedLoad load, long nowNanos) {
    selection.owner().report(selection, load, nowNanos);
  }

  /**
   * Ends a selection; further calls for the same selection have no effect.
   *
   * @param latencyNanos nanoseconds from sending the request to the response head
   */
  public void finish(Selection selection, AttemptResult result, long latencyNanos, long nowNanos) {
    selection.owner().finish(selection, result, latencyNanos, nowNanos);
  }

  /** Drops the state of services that are no longer in the configuration. */
  public void retainServices(Predicate<ServiceId> known) {
    services.keySet().removeIf(known.negate());
  }

  /** Status of the instances of a service, ordered by node id. */
  public List<InstanceStatus> status(ServiceId service, long nowNanos) {
    ServiceBalancer balancer = services.get(service);
    return balancer == null ? List.of() : balancer.status(nowNanos);
  }

  private ServiceBalancer balancerOf(ServiceId service) {
    return services.computeIfAbsent(
        service, id -> new ServiceBalancer(settings, region, dataCentre));
  }
}
