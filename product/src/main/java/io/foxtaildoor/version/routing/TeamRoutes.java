package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Services and routes of one team's part. Instances are immutable, so that successive configuration
 * versions can share them.
 *
 * <p>Checks that need only this part are done here; checks across all parts are done in {@link
 * RouteTable#build}.
 *
 * @param routesByHost routes by lower-case host name, in the order in which they are tried for a
 *     request
 * @param routeByTargetService for each target service, one of the routes to it
 */
public record TeamRoutes(
    TeamId team,
    List<Service> services,
    Map<String, List<Route>> routesByHost,
    Map<ServiceId, Route> routeByTargetService) {
  private static final Comparator<Route> MOST_SPECIFIC_FIRST =
      Comparator.comparingInt((Route route) -> route.path().length())
          .reversed()
          .thenComparing(Route::prefix)
          .thenComparing(route -> route.methods().isEmpty());

  /** Creates immutable copies of the collections. */
  public TeamRoutes {
    services = List.copyOf(services);
    routesByHost = Map.copyOf(routesByHost);
    routeByTargetService = Map.copyOf(routeByTargetService);
  }

  /**
   * Converts a team's part and checks its values.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} if a value is out of
   *     range
   */
  public static TeamRoutes of(TeamId team, TeamConfiguration configuration) {
    List<Service> services = new ArrayList<>();
    Map<String, List<Route>> routes = new HashMap<>();
    Map<ServiceId, Route> called = new LinkedHashMap<>();
    Map<Object, Object> pool = new HashMap<>();
    try {
      for (ServiceConfiguration service : configuration.getServicesList()) {
        services.add(requireValid(Service.of(team, service)));
      }
      for (RouteConfiguration message : configuration.getRoutesList()) {
        Route route = requireValid(Route.of(team, message).withInternedValues(pool));
        String host = route.host().toLowerCase(Locale.ROOT);
        routes.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
        called.putIfAbsent(route.service(), route);
        route.split().forEach(target -> called.putIfAbsent(target.service(), route));
      }
    } catch (IndexOutOfBoundsException e) {
      throw new FoxtaildoorException(ErrorKind.BAD_CONFIGURATION, "unknown rank", e);
    }
    routes.replaceAll((host, hostRoutes) -> sortByPrecedence(hostRoutes));
    return new TeamRoutes(team, services, routes, called);
  }

  /**
   * Sorts routes by precedence. The sort is stable, so sorted lists may be concatenated and sorted
   * again.
   */
  static List<Route> sortByPrecedence(List<Route> routes) {
    return routes.stream().sorted(MOST_SPECIFIC_FIRST).toList();
  }

  private static Service requireValid(Service service) {
    RouteTable.require(service.slots() > 0, "service " + service.id() + " has no slots");
    return service;
  }

  private static Route requireValid(Route route) {
    RouteTable.require(!route.deadline().isZero(), "route " + route.name() + " has no deadline");
    return route;
  }
}
