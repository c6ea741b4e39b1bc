package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.WeightedService;

/**
 * A part of a route's requests.
 *
 * @param weight share relative to the other parts, more than 0
 */
public record WeightedTarget(ServiceId service, int weight) {
  /** Checks the weight. */
  public WeightedTarget {
    RouteTable.require(weight > 0, "the part of service " + service + " has no weight");
  }

  static WeightedTarget of(WeightedService message) {
    return new WeightedTarget(new ServiceId(message.getService()), message.getWeight());
  }
}
