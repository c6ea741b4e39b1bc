package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.WeightedService;

/**
 * One target service of a route whose requests are split by weight.
 *
 * @param weight share of the requests relative to the other targets, greater than 0
 */
public record WeightedTarget(ServiceId service, int weight) {
  /** Checks that the weight is positive. */
  public WeightedTarget {
    RouteTable.require(weight > 0, "the part of service " + service + " has no weight");
  }

  static WeightedTarget of(WeightedService message) {
    return new WeightedTarget(new ServiceId(message.getService()), message.getWeight());
  }
}
