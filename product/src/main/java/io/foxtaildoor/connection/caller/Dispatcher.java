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

/** Chooses the instances for the attempts of one request. */
final class Dispatcher {
  private final CallerDependencies dependencies;
  private final RequestHead head;
  private final ServiceId service;
  private final Set<NodeId> tried = new HashSet<>();
  private boolean keyRegistered;

  Dispatcher(CallerDependencies dependencies, RequestHead head) {
    this.dependencies = dependencies;
    this.head = head;
    this.service = head.service();
  }

  /** Whether a request may be sent to another instance than those tried. */
  boolean hasUntried() {
    // Another instance does not know the key and could run a later repeat a second time.
    return !head.isKeyed()
        && dependencies.fleet().upstreams(service).stream()
            .anyMatch(node -> !tried.contains(node.id()));
  }

  /**
   * Chooses the next instance.
   *
   * @throws FoxtaildoorException with the kind of the error when there is none
   */
  Selection next(long nowNanos) {
    List<NodeRecord> candidates = dependencies.fleet().upstreams(service);
    Optional<Selection> selection =
        head.isKeyed()
            ? Optional.of(nextKeyed(candidates, nowNanos))
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
        selection.orElseThrow(() -> candidates.isEmpty() ? noUpstream() : allRefuse());
    tried.add(chosen.node().id());
    return chosen;
  }

  private Selection nextKeyed(List<NodeRecord> candidates, long nowNanos) {
    String key = head.message().getIdempotencyKey();
    Optional<NodeId> known = dependencies.keyedRequests().destination(service, key, nowNanos);
    RendezvousOrder order = new RendezvousOrder(service.value(), key);
    NodeId preferred =
        known
            .or(() -> order.first(candidates, NodeRecord::id).map(NodeRecord::id))
            .orElseThrow(this::noUpstream);
    NodeId target =
        dependencies
            .keyedRequests()
            .begin(service, key, preferred, nowNanos)
            .orElseThrow(
                () ->
                    new FoxtaildoorException(
                        ErrorKind.OVERLOADED, "too many keyed requests are remembered"));
    keyRegistered = true;
    Optional<Selection> selection =
        dependencies.selector().select(service, candidates, target, nowNanos);
    if (selection.isEmpty()) {
      // An entry that this request created names a candidate, so the key was known before.
      throw new FoxtaildoorException(
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier request with the key may have run on a node that is gone");
    }
    return selection.get();
  }

  private Urgency urgency(long nowNanos) {
    boolean misses =
        head.objectiveNanos().isPresent() && head.objectiveNanos().getAsLong() - nowNanos <= 0;
    return Urgency.of(head.route().rank(), misses);
  }

  private FoxtaildoorException allRefuse() {
    return new FoxtaildoorException(
        ErrorKind.OVERLOADED, "every instance of service " + service + " refused a moment ago");
  }

  private FoxtaildoorException noUpstream() {
    return new FoxtaildoorException(
        ErrorKind.NO_UPSTREAM, "service " + service + " has no upstream");
  }

  /** Records how the request ended, for its key. */
  void ended(Ending ending, long nowNanos) {
    if (keyRegistered) {
      keyRegistered = false;
      dependencies
          .keyedRequests()
          .end(service, head.message().getIdempotencyKey(), ending, nowNanos);
    }
  }
}
