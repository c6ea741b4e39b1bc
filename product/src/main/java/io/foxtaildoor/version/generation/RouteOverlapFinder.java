package io.foxtaildoor.version.generation;

import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.questionnaire.WorkAnswer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds accepted routes of other teams that can match the same requests as a new route. */
final class RouteOverlapFinder {
  /** An accepted route of another team that overlaps with the new route. */
  record OverlappingRoute(String team, String name) {}

  private record Candidate(String team, RouteConfiguration route) {}

  private final Map<String, List<Candidate>> candidatesByHost = new HashMap<>();

  RouteOverlapFinder(Collection<TeamConfiguration> teams) {
    for (TeamConfiguration team : teams) {
      for (RouteConfiguration route : team.getRoutesList()) {
        candidatesByHost
            .computeIfAbsent(route.getHost().toLowerCase(Locale.ROOT), key -> new ArrayList<>())
            .add(new Candidate(team.getTeam(), route));
      }
    }
  }

  Optional<OverlappingRoute> find(WorkAnswer work) {
    return candidatesByHost.getOrDefault(work.host().toLowerCase(Locale.ROOT), List.of()).stream()
        .filter(candidate -> overlaps(work, candidate.route()))
        .findFirst()
        .map(candidate -> new OverlappingRoute(candidate.team(), candidate.route().getName()));
  }

  private static boolean overlaps(WorkAnswer work, RouteConfiguration route) {
    boolean methodsOverlap =
        work.methods().isEmpty()
            || route.getMethodsCount() == 0
            || !Collections.disjoint(work.methods(), route.getMethodsList());
    return methodsOverlap
        && (pathMatches(work.path(), work.prefix(), route.getPath())
            || pathMatches(route.getPath(), route.getPrefix(), work.path()));
  }

  /**
   * Returns whether a route's path matches another path, by the same rules as the route lookup for
   * requests.
   */
  private static boolean pathMatches(String path, boolean prefix, String otherPath) {
    if (path.equals(otherPath)) {
      return true;
    }
    return prefix && otherPath.startsWith(path.endsWith("/") ? path : path + "/");
  }
}
