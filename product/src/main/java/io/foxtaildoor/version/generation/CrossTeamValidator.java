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

/** Validates one team's questionnaire against the accepted configurations of all teams. */
public final class CrossTeamValidator {
  private final Questionnaire questionnaire;
  private final LineNumbers lineNumbers;
  private final TeamConfiguration ownAccepted;
  private final Collection<TeamConfiguration> otherTeams;
  private final Map<String, String> otherTeamByService = new HashMap<>();
  private final List<Problem> problems = new ArrayList<>();

  private CrossTeamValidator(
      Questionnaire questionnaire,
      LineNumbers lineNumbers,
      Map<TeamId, TeamConfiguration> acceptedTeams) {
    this.questionnaire = questionnaire;
    this.lineNumbers = lineNumbers;
    Map<TeamId, TeamConfiguration> remaining = new TreeMap<>(acceptedTeams);
    TeamConfiguration accepted = remaining.remove(questionnaire.team());
    this.ownAccepted = accepted == null ? TeamConfiguration.getDefaultInstance() : accepted;
    this.otherTeams = remaining.values();
    for (TeamConfiguration team : otherTeams) {
      team.getServicesList()
          .forEach(service -> otherTeamByService.put(service.getId(), team.getTeam()));
    }
  }

  /**
   * Returns all problems found. If there are none, replacing this team's accepted configuration by
   * the new one yields a valid configuration of the whole mesh.
   *
   * @param lineNumbers line numbers of the questionnaire's values, for the reported problems
   * @param acceptedTeams the accepted configurations of all teams, including this one if it has any
   */
  public static List<Problem> validate(
      Questionnaire questionnaire,
      LineNumbers lineNumbers,
      Map<TeamId, TeamConfiguration> acceptedTeams) {
    CrossTeamValidator validator =
        new CrossTeamValidator(questionnaire, lineNumbers, acceptedTeams);
    validator.checkTeam();
    validator.checkServices();
    validator.checkRoutes();
    validator.checkRemovedServices();
    return List.copyOf(validator.problems);
  }

  private void addProblem(ProblemKind kind, String path, String message) {
    problems.add(new Problem(kind, path, lineNumbers.lineOf(path), message));
  }

  private void checkTeam() {
    String member = questionnaire.member().value();
    if (!ownAccepted.getTeam().isEmpty() && !ownAccepted.getMember().equals(member)) {
      addProblem(ProblemKind.TEAM_TAKEN, "team", "the team belongs to another member");
    }
  }

  private void checkServices() {
    Set<String> ownServices = ownServiceIds();
    for (int i = 0; i < questionnaire.services().size(); i++) {
      ServiceAnswer service = questionnaire.services().get(i);
      String path = "services[" + i + "]";
      String owner = otherTeamByService.get(service.id().value());
      if (owner != null) {
        String message = "the service " + service.id() + " belongs to team " + owner;
        addProblem(ProblemKind.SERVICE_TAKEN, path + ".id", message);
      }
      for (int j = 0; j < service.callers().size(); j++) {
        String caller = service.callers().get(j);
        if (!caller.equals(Service.ANY_CALLER) && !serviceExists(caller, ownServices)) {
          String message = "no accepted team has the service " + caller;
          addProblem(ProblemKind.UNKNOWN_CALLER, path + ".callers[" + j + "]", message);
        }
      }
    }
  }

  private Set<String> ownServiceIds() {
    Set<String> ownServices = new HashSet<>();
    questionnaire.services().forEach(service -> ownServices.add(service.id().value()));
    return ownServices;
  }

  private boolean serviceExists(String service, Set<String> ownServices) {
    return ownServices.contains(service) || otherTeamByService.containsKey(service);
  }

  private void checkRoutes() {
    Set<String> ownServices = ownServiceIds();
    RouteOverlapFinder overlapFinder = new RouteOverlapFinder(otherTeams);
    for (int i = 0; i < questionnaire.work().size(); i++) {
      var work = questionnaire.work().get(i);
      String path = "work[" + i + "]";
      if (!serviceExists(work.service().value(), ownServices)) {
        String message = "neither this nor an accepted team has the service " + work.service();
        addProblem(ProblemKind.UNKNOWN_SERVICE, path + ".service", message);
      }
      overlapFinder
          .find(work)
          .ifPresent(
              other -> {
                String message = "overlaps route " + other.name() + " of team " + other.team();
                addProblem(ProblemKind.ROUTE_OVERLAP, path, message);
              });
    }
  }

  private void checkRemovedServices() {
    Set<String> ownServices = ownServiceIds();
    for (ServiceConfiguration acceptedService : ownAccepted.getServicesList()) {
      if (!ownServices.contains(acceptedService.getId())) {
        otherTeams.forEach(team -> checkRemovedService(acceptedService.getId(), team));
      }
    }
  }

  private void checkRemovedService(String service, TeamConfiguration team) {
    String messageStart = "the service " + service + " cannot be removed: ";
    team.getRoutesList().stream()
        .filter(route -> route.getService().equals(service))
        .forEach(
            route ->
                addProblem(
                    ProblemKind.SERVICE_IN_USE,
                    "services",
                    messageStart + "route " + route.getName() + " of team " + team.getTeam()));
    team.getServicesList().stream()
        .filter(other -> other.getCallersList().contains(service))
        .forEach(
            other ->
                addProblem(
                    ProblemKind.SERVICE_IN_USE,
                    "services",
                    messageStart + "caller of " + other.getId() + " of team " + team.getTeam()));
  }
}
