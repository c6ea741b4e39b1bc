package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Read access to the known nodes; safe for use by several threads. */
public interface FleetView {
  /** The record of the local node. */
  NodeRecord self();

  /** All known nodes, the local one included, in any state. */
  List<NodeRecord> nodes();

  /** The record of a node. */
  Optional<NodeRecord> node(NodeId id);

  /** Nodes whose upstream serves a service and that accept work; an immutable snapshot. */
  List<NodeRecord> upstreams(ServiceId service);

  /** Calls the listener after each change of a record; the listener must not block. */
  void addListener(Consumer<NodeRecord> listener);
}
