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

/** Immutable lookup of routes and services of one version; every route's service is present. */
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
   * Builds the table of a whole version.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when two teams define one
   *     service or a route's service is missing
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

  /** Finds the route of a request; the host has no port, the path no query. */
  public Optional<Route> find(String host, String method, String path) {
    for (Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
      if (route.matches(method, path)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Finds a service. */
  public Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /** All services. */
  public Collection<Service> services() {
    return services.values();
  }

  /** All routes in no order. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }
}
