package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.RouteConfiguration;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * A kind of work: the requests that match and how they are treated.
 *
 * @param team the team that declared the route
 * @param methods admitted methods; empty admits all
 * @param prefix whether paths below {@code path} match as well
 * @param service the service that requests go to
 * @param maxBodyBytes largest request body
 */
public record Route(
    String name,
    TeamId team,
    String host,
    Set<String> methods,
    String path,
    boolean prefix,
    ServiceId service,
    boolean idempotent,
    Rank rank,
    Duration deadline,
    long maxBodyBytes) {
  static Route of(TeamId team, RouteConfiguration c) {
    return new Route(
        c.getName(),
        team,
        c.getHost(),
        Set.copyOf(c.getMethodsList()),
        c.getPath(),
        c.getPrefix(),
        new ServiceId(c.getService()),
        c.getIdempotent(),
        Rank.of(c.getRankValue()),
        Duration.ofMillis(c.getDeadlineMillis()),
        c.getMaxBodyBytes());
  }

  /** Takes equal values from the map, because most routes of a team repeat them. */
  Route sharing(Map<Object, Object> shared) {
    return new Route(
        name,
        team,
        share(shared, host),
        share(shared, methods),
        path,
        prefix,
        share(shared, service),
        idempotent,
        rank,
        share(shared, deadline),
        maxBodyBytes);
  }

  @SuppressWarnings("unchecked") // Equal keys of these types have one class.
  private static <T> T share(Map<Object, Object> shared, T value) {
    return (T) shared.computeIfAbsent(value, key -> key);
  }

  /** Whether the route admits a method and a path without its query. */
  public boolean matches(String method, String requestPath) {
    return (methods.isEmpty() || methods.contains(method)) && matchesPath(requestPath);
  }

  private boolean matchesPath(String requestPath) {
    if (!requestPath.startsWith(path)) {
      return false;
    }
    if (requestPath.length() == path.length()) {
      return true;
    }
    return prefix && (path.endsWith("/") || requestPath.charAt(path.length()) == '/');
  }
}
