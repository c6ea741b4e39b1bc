package io.foxtaildoor.process.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** The {@code questionnaire} subcommands. */
final class QuestionnaireCommands {
  private QuestionnaireCommands() {}

  /** Base class of commands that send a questionnaire file. */
  private abstract static class FileCommand extends OperatorCommand {
    @Option(
        name = "--file",
        metaVar = "FILE",
        required = true,
        usage = "questionnaire file, in YAML")
    String file;

    @Override
    int exitCode(JsonNode answer) {
      return answer.path("problems").isEmpty() ? Main.EXIT_SUCCESS : Main.EXIT_USAGE;
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      for (JsonNode problem : answer.path("problems")) {
        out.printf(
            "%s:%d: %s: %s%n",
            file,
            problem.path("line").asInt(),
            problem.path("path").asText(),
            problem.path("message").asText());
      }
      if (answer.path("problems").isEmpty()) {
        printSuccess(answer, out);
      }
    }

    abstract void printSuccess(JsonNode answer, PrintStream out);
  }

  /** Validates a questionnaire, also against all accepted questionnaires. */
  static final class Check extends FileCommand {
    @Override
    JsonNode call(OperatorClient client) {
      return client.call("POST", "/v1/questionnaires/check", Map.of(), readFile(file));
    }

    @Override
    void printSuccess(JsonNode answer, PrintStream out) {
      out.println("valid");
    }
  }

  /** Sends a questionnaire and prints its revision and the digest of the proposal. */
  private abstract static class SendCommand extends FileCommand {
    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "the team")
    String team;

    @Override
    void printSuccess(JsonNode answer, PrintStream out) {
      out.println("revision " + answer.path("revision").asLong());
      out.println("proposal " + answer.path("proposalDigest").asText());
    }
  }

  /** Submits the first questionnaire of a team. */
  static final class Submit extends SendCommand {
    @Override
    JsonNode call(OperatorClient client) {
      return client.call(
          "POST", "/v1/questionnaires/" + checkedTeamId(team), Map.of(), readFile(file));
    }
  }

  /** Replaces the questionnaire of a team, given its current revision. */
  static final class Amend extends SendCommand {
    @Option(
        name = "--revision",
        metaVar = "N",
        required = true,
        usage = "revision to replace; the call fails with a conflict if it is not the current one")
    private long revision;

    @Override
    JsonNode call(OperatorClient client) {
      return client.call(
          "POST",
          "/v1/questionnaires/" + checkedTeamId(team),
          Map.of("If-Match", Long.toString(revision)),
          readFile(file));
    }
  }

  /** Prints a team's current questionnaire. */
  static final class Show extends OperatorCommand {
    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "the team")
    private String team;

    @Override
    JsonNode call(OperatorClient client) {
      return client.get("/v1/questionnaires/" + checkedTeamId(team));
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      out.println("# revision " + answer.path("revision").asLong());
      out.print(answer.path("questionnaire").asText());
    }
  }

  /** Lists the revisions of a team's questionnaire. */
  static final class History extends OperatorCommand {
    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "the team")
    private String team;

    @Override
    JsonNode call(OperatorClient client) {
      return client.get("/v1/questionnaires/" + checkedTeamId(team) + "/history");
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      for (JsonNode revision : answer.path("revisions")) {
        out.printf(
            "%d %s %s %s%n",
            revision.path("revision").asLong(),
            revision.path("at").asText(),
            revision.path("operator").asText(),
            revision.path("proposalDigest").asText());
      }
    }
  }
}
