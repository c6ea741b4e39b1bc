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
 * Chooses the instance for each request by power of two choices; safe for use by several threads.
 *
 * <p>The candidates are the nodes that membership holds to accept work for the service. An ejected
 * instance is passed over only while another one is left.
 */
public final class UpstreamSelector {
  private final BalanceSettings settings;
  private final RegionId region;
  private final DataCentreId dataCentre;
  private final Map<ServiceId, ServiceBalancer> services = new ConcurrentHashMap<>();

  /** Creates a selector for a node in a data centre. */
  public UpstreamSelector(BalanceSettings settings, RegionId region, DataCentreId dataCentre) {
    this.settings = settings;
    this.region = region;
    this.dataCentre = dataCentre;
  }

  /**
   * Chooses an instance that was not tried yet and counts the request as in flight on it.
   *
   * @param retriable whether a failure of the request could be retried; such requests probe ejected
   *     instances first
   * @return empty when every candidate was tried
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
   * Chooses as the other method does, without the instances that refused such a request just now.
   *
   * @return empty when every candidate was tried or is skipped
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
   * Counts a request as in flight on a given instance, which a key or an earlier attempt decided.
   *
   * @return empty when the node is not among the candidates
   */
  public Optional<Selection> select(
      ServiceId service, List<NodeRecord> candidates, NodeId target, long nowNanos) {
    return balancerOf(service).select(candidates, target, nowNanos);
  }

  /** Records the load that came with the head of an answer or with a refusal. */
  public void report(Selection selection, ReportedLoad load, long nowNanos) {
    selection.owner().report(selection, load, nowNanos);
  }

  /**
   * Ends a selection; later calls for the same one have no effect.
   *
   * @param latencyNanos time from sending to the head of the answer
   */
  public void finish(Selection selection, AttemptResult result, long latencyNanos, long nowNanos) {
    selection.owner().finish(selection, result, latencyNanos, nowNanos);
  }

  /** Forgets the services that are no longer in the configuration. */
  public void retainServices(Predicate<ServiceId> known) {
    services.keySet().removeIf(known.negate());
  }

  /** What is kept about the instances of a service, in the order of their ids. */
  public List<InstanceStatus> status(ServiceId service, long nowNanos) {
    ServiceBalancer balance = services.get(service);
    return balance == null ? List.of() : balance.status(nowNanos);
  }

  private ServiceBalancer balancerOf(ServiceId service) {
    return services.computeIfAbsent(
        service, id -> new ServiceBalancer(settings, region, dataCentre));
  }
}
