package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Immutable lookup of routes and services of one version; every route's service is present. */
public final class RouteTable {
  /** A table without routes. */
  public static final RouteTable EMPTY = new RouteTable(Map.of(), Map.of());

  private static final Comparator<Route> LONGEST_PATH_FIRST =
      Comparator.comparingInt((Route route) -> route.path().length())
          .reversed()
          .thenComparing(Route::prefix)
          .thenComparing(route -> route.methods().isEmpty());

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
   *     service, a route's service is missing or a value is out of its range
   */
  public static RouteTable build(Collection<TeamConfiguration> teams) {
    Map<ServiceId, Service> services = new HashMap<>();
    Map<String, List<Route>> routes = new HashMap<>();
    try {
      teams.forEach(team -> addServices(team, services));
      teams.forEach(team -> addRoutes(team, services, routes));
    } catch (IndexOutOfBoundsException e) {
      throw new FoxtaildoorException(ErrorKind.BAD_CONFIGURATION, "unknown rank", e);
    }
    routes.values().forEach(list -> list.sort(LONGEST_PATH_FIRST));
    return new RouteTable(services, routes);
  }

  private static void addServices(TeamConfiguration team, Map<ServiceId, Service> services) {
    TeamId teamId = new TeamId(team.getTeam());
    for (ServiceConfiguration configuration : team.getServicesList()) {
      Service service = Service.of(teamId, configuration);
      require(service.slots() > 0, "service " + service.id() + " has no slots");
      Service former = services.putIfAbsent(service.id(), service);
      require(former == null, "service " + service.id() + " is defined twice");
    }
  }

  private static void addRoutes(
      TeamConfiguration team,
      Map<ServiceId, Service> services,
      Map<String, List<Route>> routesByHost) {
    TeamId teamId = new TeamId(team.getTeam());
    for (RouteConfiguration configuration : team.getRoutesList()) {
      Route route = Route.of(teamId, configuration);
      require(
          services.containsKey(route.service()),
          "route "
              + route.name()
              + " of team "
              + teamId
              + " names the missing service "
              + route.service());
      require(!route.deadline().isZero(), "route " + route.name() + " has no deadline");
      routesByHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
          .add(route);
    }
  }

  private static void require(boolean condition, String message) {
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
