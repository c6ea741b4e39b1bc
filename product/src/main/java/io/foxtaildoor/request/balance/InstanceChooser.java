package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.NodeId;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses an available instance that the request has not tried yet; returns null when there is
 * none.
 */
@FunctionalInterface
interface InstanceChooser {
  InstanceState choose(
      Set<NodeId> tried, boolean retriable, Urgency urgency, long nowNanos, RandomGenerator random);
}
