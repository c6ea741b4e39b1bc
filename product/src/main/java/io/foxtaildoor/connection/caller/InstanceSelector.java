package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.request.balance.Selection;
import io.foxtaildoor.request.balance.Urgency;
import io.foxtaildoor.request.idempotency.KeyedRequestTable.Ending;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Selects the upstream instance for each attempt of one request. */
final class InstanceSelector {
  private final CallerDependencies dependencies;
  private final RequestHead head;
  private final ServiceId service;
  private final Set<NodeId> tried = new HashSet<>();
  private boolean keyRegistered;
  private boolean keyReleased;

  InstanceSelector(CallerDependencies dependencies, RequestHead head) {
    this.dependencies = dependencies;
    this.head = head;
    this.service = head.service();
  }

  /** Returns whether the request may be sent to an instance that has not been tried yet. */
  boolean hasUntriedInstance() {
    // A request with an idempotency key stays on its instance. Another instance does not know the
    // key and could execute a later retry a second time.
    return (!head.usesIdempotencyKey() || keyReleased)
        && dependencies.fleet().upstreams(service).stream()
            .anyMatch(node -> !tried.contains(node.id()));
  }

  /**
   * Releases the idempotency key of a request that its instance refused because it is leaving, so
   * that the request may move to the instance to which later requests with the key go. The key
   * stays bound while another request with it is in flight or has an unknown outcome.
   */
  void releaseKeyOfLeavingInstance(long nowNanos) {
    if (keyRegistered) {
      recordEnding(Ending.NOT_RUN, nowNanos);
      String key = head.message().getIdempotencyKey();
      keyReleased = dependencies.keyedRequests().destination(service, key, nowNanos).isEmpty();
    }
  }

  /**
   * Selects the instance for the next attempt.
   *
   * @throws FoxtaildoorException with the kind of the error when no instance is available
   */
  Selection selectNext(long nowNanos) {
    List<NodeRecord> candidates = dependencies.fleet().upstreams(service);
    Optional<Selection> selection =
        head.usesIdempotencyKey()
            ? Optional.of(selectByIdempotencyKey(candidates, nowNanos))
            : dependencies
                .selector()
                .choose(
                    service,
                    candidates,
                    tried,
                    head.route().idempotent(),
                    urgency(nowNanos),
                    nowNanos,
                    dependencies.random().get());
    Selection chosen =
        selection.orElseThrow(() -> candidates.isEmpty() ? noUpstream() : allInstancesRefused());
    tried.add(chosen.node().id());
    return chosen;
  }

  private Selection selectByIdempotencyKey(List<NodeRecord> candidates, long nowNanos) {
    String key = head.message().getIdempotencyKey();
    Optional<NodeId> previousNode =
        dependencies.keyedRequests().destination(service, key, nowNanos);
    RendezvousOrder order = new RendezvousOrder(service.value(), key);
    NodeId preferred =
        previousNode
            .or(() -> order.first(untried(candidates), NodeRecord::id).map(NodeRecord::id))
            .orElseThrow(this::noUpstream);
    NodeId target =
        dependencies
            .keyedRequests()
            .begin(service, key, preferred, nowNanos)
            .orElseThrow(
                () ->
                    new FoxtaildoorException(
                        ErrorKind.OVERLOADED,
                        "the table of requests with idempotency keys is full"));
    keyRegistered = true;
    Optional<Selection> selection =
        dependencies.selector().select(service, candidates, target, nowNanos);
    if (selection.isEmpty()) {
      // If this request had created the entry, the destination would be one of the candidates. So
      // an earlier request with the same key was sent to a node that has left.
      throw new FoxtaildoorException(
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier request with this idempotency key may have run on a node that has left");
    }
    return selection.get();
  }

  private List<NodeRecord> untried(List<NodeRecord> candidates) {
    return candidates.stream().filter(node -> !tried.contains(node.id())).toList();
  }

  private Urgency urgency(long nowNanos) {
    boolean missesObjective =
        head.objectiveNanos().isPresent() && head.objectiveNanos().getAsLong() - nowNanos <= 0;
    return Urgency.of(head.route().rank(), missesObjective);
  }

  private FoxtaildoorException allInstancesRefused() {
    return new FoxtaildoorException(
        ErrorKind.OVERLOADED,
        "every instance of service " + service + " recently refused requests");
  }

  private FoxtaildoorException noUpstream() {
    return new FoxtaildoorException(
        ErrorKind.NO_UPSTREAM, "service " + service + " has no upstream instance");
  }

  /** Records how the request ended for its idempotency key, if it has one. */
  void recordEnding(Ending ending, long nowNanos) {
    if (keyRegistered) {
      keyRegistered = false;
      dependencies
          .keyedRequests()
          .end(service, head.message().getIdempotencyKey(), ending, nowNanos);
    }
  }
}
