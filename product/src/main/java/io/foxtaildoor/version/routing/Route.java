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
 * A kind of work: the requests that match and how they are treated.
 *
 * @param team the team that declared the route
 * @param methods admitted methods; empty admits all
 * @param prefix whether paths below {@code path} match as well
 * @param service the service that requests go to, unless the route has a split
 * @param deadline longest time that a caller waits for its answer
 * @param maxBodyBytes largest request body
 * @param maxAttempts instances to which one request may be sent; 0 leaves it to the node
 * @param objective time within which an answer has its full worth; zero when it is not stated
 * @param split services that share the requests by weight; empty when all go to {@code service}
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
  /** Chooses the service of one request; the parts of a split get their share by weight. */
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

  /** Takes equal values from the map, because most routes of a team repeat them. */
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

  @SuppressWarnings("unchecked") // Equal keys of these types have one class.
  private static <T> T intern(Map<Object, Object> pool, T value) {
    return (T) pool.computeIfAbsent(value, key -> key);
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
