package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Read-only view of the known nodes; thread-safe. */
public interface FleetView {
  /** Returns the record of the local node. */
  NodeRecord self();

  /** Returns the records of all known nodes in any state, including the local node. */
  List<NodeRecord> nodes();

  /** Returns the record of a node, or an empty result if the node is unknown. */
  Optional<NodeRecord> node(NodeId id);

  /**
   * Returns the nodes that accept work and whose upstream serves the service, as an immutable
   * snapshot.
   */
  List<NodeRecord> upstreams(ServiceId service);

  /** Adds a listener that is called with the new record after each change; it must not block. */
  void addListener(Consumer<NodeRecord> listener);
}
