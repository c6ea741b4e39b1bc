package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Index of the nodes that accept work by the service that their upstream serves, with an immutable
 * list for each service. A changed record replaces only the lists of its previous and its current
 * service.
 */
final class UpstreamIndex {
  private final NodeId self;
  private final ConcurrentMap<ServiceId, List<NodeRecord>> byService = new ConcurrentHashMap<>();

  UpstreamIndex(NodeId self) {
    this.self = self;
  }

  /** Returns the nodes that serve a service and accept work. */
  List<NodeRecord> find(ServiceId service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Applies a change of a record; the previous record is null for a new node. */
  void update(NodeRecord previous, NodeRecord current) {
    Optional<ServiceId> before = previous == null ? Optional.empty() : servedService(previous);
    Optional<ServiceId> after = servedService(current);
    if (before.isPresent() && !before.equals(after)) {
      byService.computeIfPresent(before.get(), (id, list) -> withoutNode(list, current.id()));
    }
    if (after.isPresent()) {
      byService.merge(after.get(), List.of(current), (list, added) -> withNode(list, current));
    }
  }

  /**
   * Returns the service for which a node is listed, or an empty result if it accepts no work. The
   * local node stays listed while it leaves, because it continues to serve the callers on its own
   * host until it refuses them itself.
   */
  private Optional<ServiceId> servedService(NodeRecord record) {
    boolean leavingLocalNode = record.state() == NodeState.LEAVING && record.id().equals(self);
    if (!leavingLocalNode && !record.state().acceptsWork()) {
      return Optional.empty();
    }
    return record.upstream().map(UpstreamAnnouncement::service);
  }

  private static List<NodeRecord> withNode(List<NodeRecord> list, NodeRecord record) {
    List<NodeRecord> changed = new ArrayList<>(list);
    changed.removeIf(entry -> entry.id().equals(record.id()));
    changed.add(record);
    return List.copyOf(changed);
  }

  /** Returns null, which removes the service from the index, if no node remains. */
  private static List<NodeRecord> withoutNode(List<NodeRecord> list, NodeId id) {
    List<NodeRecord> changed = new ArrayList<>(list);
    changed.removeIf(entry -> entry.id().equals(id));
    return changed.isEmpty() ? null : List.copyOf(changed);
  }
}
