package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.ServiceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable lookup table of the routes and services of one configuration version. The table
 * contains the target service of every route.
 */
public final class RouteTable {
  /** A table without routes. */
  public static final RouteTable EMPTY = new RouteTable(Map.of(), Map.of());

  private final Map<ServiceId, Service> services;
  private final Map<String, List<Route>> routesByHost;

  private RouteTable(Map<ServiceId, Service> services, Map<String, List<Route>> routesByHost) {
    this.services = services;
    this.routesByHost = routesByHost;
  }

  /**
   * Builds the table of a complete version from the routes of all teams.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} if two teams define the
   *     same service or the target service of a route is missing
   */
  public static RouteTable build(Collection<TeamRoutes> teams) {
    Map<ServiceId, Service> services = new HashMap<>();
    for (TeamRoutes team : teams) {
      for (Service service : team.services()) {
        Service existing = services.putIfAbsent(service.id(), service);
        require(existing == null, "service " + service.id() + " is defined twice");
      }
    }
    Map<String, List<Route>> routes = new HashMap<>();
    for (TeamRoutes team : teams) {
      team.routeByTargetService()
          .forEach(
              (service, route) -> {
                if (!services.containsKey(service)) {
                  throw missingService(service, route);
                }
              });
      team.routesByHost()
          .forEach((host, list) -> routes.merge(host, list, RouteTable::mergeByPrecedence));
    }
    return new RouteTable(services, routes);
  }

  private static List<Route> mergeByPrecedence(List<Route> first, List<Route> second) {
    List<Route> joined = new ArrayList<>(first);
    joined.addAll(second);
    return TeamRoutes.sortByPrecedence(joined);
  }

  private static FoxtaildoorException missingService(ServiceId service, Route route) {
    return new FoxtaildoorException(
        ErrorKind.BAD_CONFIGURATION,
        "route "
            + route.name()
            + " of team "
            + route.team()
            + " names the missing service "
            + service);
  }

  static void require(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.BAD_CONFIGURATION, message);
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param host host name without a port
   * @param path path without a query
   */
  public Optional<Route> find(String host, String method, String path) {
    for (Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
      if (route.matches(method, path)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the service with an id, if the version has it. */
  public Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /** Returns all services. */
  public Collection<Service> services() {
    return services.values();
  }

  /** Returns all routes in no particular order. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }
}
