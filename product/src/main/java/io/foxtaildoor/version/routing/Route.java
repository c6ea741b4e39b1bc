package io.foxtaildoor.version.routing;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.RouteConfiguration;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A route: which requests match it and how they are handled.
 *
 * @param team the team that declared the route
 * @param methods HTTP methods that match; empty for all methods
 * @param prefix whether paths below {@code path} match as well
 * @param service target service of the requests, unless the route has a split
 * @param deadline maximum time that a caller waits for the response
 * @param maxBodyBytes maximum size of a request body
 * @param maxAttempts maximum number of instances to which one request may be sent; 0 leaves the
 *     number to the node
 * @param objective time within which a response has its full value; zero if not set
 * @param split services among which the requests are divided by weight; empty if all requests go to
 *     {@code service}
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
    long maxBodyBytes,
    int maxAttempts,
    Duration objective,
    List<WeightedTarget> split) {
  /** Chooses the target service of one request, at random by weight if the route has a split. */
  public ServiceId chooseService(RandomGenerator random) {
    if (split.isEmpty()) {
      return service;
    }
    int drawn = random.nextInt(split.stream().mapToInt(WeightedTarget::weight).sum());
    for (WeightedTarget target : split) {
      drawn -= target.weight();
      if (drawn < 0) {
        return target.service();
      }
    }
    throw new IllegalStateException("the weights of route " + name + " changed");
  }

  static Route of(TeamId team, RouteConfiguration configuration) {
    return new Route(
        configuration.getName(),
        team,
        configuration.getHost(),
        Set.copyOf(configuration.getMethodsList()),
        configuration.getPath(),
        configuration.getPrefix(),
        new ServiceId(configuration.getService()),
        configuration.getIdempotent(),
        Rank.of(configuration.getRankValue()),
        Duration.ofMillis(configuration.getDeadlineMillis()),
        configuration.getMaxBodyBytes(),
        configuration.getMaxAttempts(),
        Duration.ofMillis(configuration.getObjectiveMillis()),
        configuration.getSplitList().stream().map(WeightedTarget::of).toList());
  }

  /**
   * Returns a copy whose values are replaced by equal ones from the pool. This saves memory,
   * because most routes of a team have the same values.
   */
  Route withInternedValues(Map<Object, Object> pool) {
    return new Route(
        name,
        team,
        intern(pool, host),
        intern(pool, methods),
        path,
        prefix,
        intern(pool, service),
        idempotent,
        rank,
        intern(pool, deadline),
        maxBodyBytes,
        maxAttempts,
        intern(pool, objective),
        split);
  }

  @SuppressWarnings("unchecked") // Equal values of the types used here have the same class.
  private static <T> T intern(Map<Object, Object> pool, T value) {
    return (T) pool.computeIfAbsent(value, key -> key);
  }

  /** Returns whether the route matches a method and a path; the path must not include a query. */
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
