package io.foxtaildoor.version.generation;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.questionnaire.ProblemKind;
import io.foxtaildoor.version.questionnaire.QuestionnaireReader;
import io.foxtaildoor.version.questionnaire.ReadResult;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CrossTeamValidator}. */
public class CrossTeamValidatorTest {
  private static final String OTHER_TEAM =
      team(
          "m2",
          "other",
          "{id: o, callers: [mine, kept], slots: 1, connections: 1}",
          route("r", "h", "GET, PUT", "/shared", true, "mine"));
  private static final String OWN_TEAM =
      team("m1", "own", service("mine") + ", " + service("kept"), "");

  private static String team(String member, String team, String services, String work) {
    return "member: %s\nteam: %s\nservices: [%s]\nwork:\n  [%s]\n"
        .formatted(member, team, services, work);
  }

  private static String service(String id) {
    return "{id: %s, callers: [\"*\"], slots: 1, connections: 1}".formatted(id);
  }

  private static String route(
      String name, String host, String methods, String path, boolean prefix, String service) {
    return ("{name: %s, host: %s, methods: [%s], path: %s, prefix: %s, service: %s,"
            + " idempotent: true, deadline: 1s}")
        .formatted(name, host, methods, path, prefix, service);
  }

  private static String ownTeamWithWork(String work) {
    return team("m1", "own", service("mine") + ", " + service("kept"), work);
  }

  private static ReadResult.Valid read(String document) {
    return (ReadResult.Valid) QuestionnaireReader.read(document);
  }

  @DataProvider
  Object[][] cases() {
    String ownServices = service("mine") + ", " + service("kept");
    return new Object[][] {
      {ownTeamWithWork(""), null, "", 0},
      {ownTeamWithWork(route("w", "h", "POST", "/shared", true, "o")), null, "", 0},
      {ownTeamWithWork(route("w", "h", "GET", "/sharedness", true, "o")), null, "", 0},
      {ownTeamWithWork(route("w", "h2", "", "/shared", true, "o")), null, "", 0},
      {
        ownTeamWithWork(route("w", "h", "GET", "/shared", false, "o")),
        ProblemKind.ROUTE_OVERLAP,
        "work[0]",
        5
      },
      {
        ownTeamWithWork(route("w", "h", "", "/", true, "o")),
        ProblemKind.ROUTE_OVERLAP,
        "work[0]",
        5
      },
      {
        ownTeamWithWork(route("w", "h", "PUT", "/shared/a", false, "o")),
        ProblemKind.ROUTE_OVERLAP,
        "work[0]",
        5
      },
      {
        ownTeamWithWork(route("w", "x", "", "/", true, "gone")),
        ProblemKind.UNKNOWN_SERVICE,
        "work[0].service",
        5
      },
      {
        team("m1", "own", ownServices + ", " + service("o"), ""),
        ProblemKind.SERVICE_TAKEN,
        "services[2].id",
        3
      },
      {
        team("m1", "own", ownServices + ", {id: n, callers: [o, z], slots: 1, connections: 1}", ""),
        ProblemKind.UNKNOWN_CALLER,
        "services[2].callers[1]",
        3
      },
      {team("m3", "own", ownServices, ""), ProblemKind.TEAM_TAKEN, "team", 2},
      {team("m1", "own", service("mine"), ""), ProblemKind.SERVICE_IN_USE, "services", 3},
    };
  }

  /**
   * Guards against accepting a questionnaire that conflicts with another team's, and the reverse.
   */
  @Test(dataProvider = "cases")
  public void findsConflictWithOtherTeams(
      String document, ProblemKind kind, String path, int line) {
    Map<TeamId, TeamConfiguration> accepted = new TreeMap<>();
    for (String team : List.of(OTHER_TEAM, OWN_TEAM)) {
      var answers = read(team).questionnaire();
      accepted.put(answers.team(), ConfigurationGenerator.generate(answers));
    }
    ReadResult.Valid valid = read(document);
    List<String> found =
        CrossTeamValidator.validate(valid.questionnaire(), valid.lineNumbers(), accepted).stream()
            .map(problem -> problem.kind() + " " + problem.path() + " " + problem.line())
            .toList();
    assertEquals(found, kind == null ? List.of() : List.of(kind + " " + path + " " + line));
  }
}
