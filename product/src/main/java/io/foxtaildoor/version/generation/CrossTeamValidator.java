package io.foxtaildoor.version.generation;

import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.questionnaire.LineNumbers;
import io.foxtaildoor.version.questionnaire.Problem;
import io.foxtaildoor.version.questionnaire.ProblemKind;
import io.foxtaildoor.version.questionnaire.Questionnaire;
import io.foxtaildoor.version.questionnaire.ServiceAnswer;
import io.foxtaildoor.version.routing.Service;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks the answers of one team against what is accepted of all teams. */
public final class CrossTeamValidator {
  private final Questionnaire questionnaire;
  private final LineNumbers places;
  private final TeamConfiguration accepted;
  private final Collection<TeamConfiguration> others;
  private final Map<String, String> teamByOtherService = new HashMap<>();
  private final List<Problem> problems = new ArrayList<>();

  private CrossTeamValidator(
      Questionnaire questionnaire, LineNumbers places, Map<TeamId, TeamConfiguration> acceptedTeams) {
    this.questionnaire = questionnaire;
    this.places = places;
    Map<TeamId, TeamConfiguration> rest = new TreeMap<>(acceptedTeams);
    TeamConfiguration own = rest.remove(questionnaire.team());
    this.accepted = own == null ? TeamConfiguration.getDefaultInstance() : own;
    this.others = rest.values();
    for (TeamConfiguration team : others) {
      team.getServicesList().forEach(s -> teamByOtherService.put(s.getId(), team.getTeam()));
    }
  }

  /**
   * Returns all problems; without any, the accepted teams with this one replaced form a valid
   * configuration.
   *
   * @param acceptedTeams the accepted configurations, the one of this team among them
   */
  public static List<Problem> validate(
      Questionnaire questionnaire, LineNumbers places, Map<TeamId, TeamConfiguration> acceptedTeams) {
    CrossTeamValidator check = new CrossTeamValidator(questionnaire, places, acceptedTeams);
    check.checkTeam();
    check.checkServices();
    check.checkRoutes();
    check.checkRemovedServices();
    return List.copyOf(check.problems);
  }

  private void add(ProblemKind kind, String path, String message) {
    problems.add(new Problem(kind, path, places.lineOf(path), message));
  }

  private void checkTeam() {
    String member = questionnaire.member().value();
    if (!accepted.getTeam().isEmpty() && !accepted.getMember().equals(member)) {
      add(ProblemKind.TEAM_TAKEN, "team", "the team belongs to another member");
    }
  }

  private void checkServices() {
    Set<String> own = ownServices();
    for (int i = 0; i < questionnaire.services().size(); i++) {
      ServiceAnswer service = questionnaire.services().get(i);
      String path = "services[" + i + "]";
      String owner = teamByOtherService.get(service.id().value());
      if (owner != null) {
        String message = "the service " + service.id() + " belongs to team " + owner;
        add(ProblemKind.SERVICE_TAKEN, path + ".id", message);
      }
      for (int j = 0; j < service.callers().size(); j++) {
        String caller = service.callers().get(j);
        if (!caller.equals(Service.ANY_CALLER) && !exists(caller, own)) {
          String message = "no accepted team has the service " + caller;
          add(ProblemKind.UNKNOWN_CALLER, path + ".callers[" + j + "]", message);
        }
      }
    }
  }

  private Set<String> ownServices() {
    Set<String> own = new HashSet<>();
    questionnaire.services().forEach(service -> own.add(service.id().value()));
    return own;
  }

  private boolean exists(String service, Set<String> own) {
    return own.contains(service) || teamByOtherService.containsKey(service);
  }

  private void checkRoutes() {
    Set<String> own = ownServices();
    RouteOverlapFinder overlap = new RouteOverlapFinder(others);
    for (int i = 0; i < questionnaire.work().size(); i++) {
      var work = questionnaire.work().get(i);
      String path = "work[" + i + "]";
      if (!exists(work.service().value(), own)) {
        String message = "neither this nor an accepted team has the service " + work.service();
        add(ProblemKind.UNKNOWN_SERVICE, path + ".service", message);
      }
      overlap
          .find(work)
          .ifPresent(
              other -> {
                String message = "overlaps route " + other.name() + " of team " + other.team();
                add(ProblemKind.ROUTE_OVERLAP, path, message);
              });
    }
  }

  private void checkRemovedServices() {
    Set<String> own = ownServices();
    for (ServiceConfiguration former : accepted.getServicesList()) {
      if (!own.contains(former.getId())) {
        others.forEach(team -> checkRemovedService(former.getId(), team));
      }
    }
  }

  private void checkRemovedService(String service, TeamConfiguration team) {
    String subject = "the service " + service + " cannot be removed: ";
    team.getRoutesList().stream()
        .filter(route -> route.getService().equals(service))
        .forEach(
            route ->
                add(
                    ProblemKind.SERVICE_IN_USE,
                    "services",
                    subject + "route " + route.getName() + " of team " + team.getTeam()));
    team.getServicesList().stream()
        .filter(other -> other.getCallersList().contains(service))
        .forEach(
            other ->
                add(
                    ProblemKind.SERVICE_IN_USE,
                    "services",
                    subject + "caller of " + other.getId() + " of team " + team.getTeam()));
  }
}
