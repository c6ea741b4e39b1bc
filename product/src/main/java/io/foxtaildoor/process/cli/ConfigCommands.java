package io.foxtaildoor.process.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Json;
import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** The {@code config} subcommands. */
final class ConfigCommands {
  private ConfigCommands() {}

  /** Prints the configuration in force, of all teams or of one team. */
  static final class Show extends OperatorCommand {
    @Option(name = "--team", metaVar = "TEAM", usage = "show only this team")
    private String team;

    @Override
    JsonNode call(OperatorClient client) {
      return client.get("/v1/config" + (team == null ? "" : "?team=" + checkedTeamId(team)));
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      out.println("# version " + answer.path("version").asLong());
      for (JsonNode part : answer.path("teams")) {
        out.println("# team " + part.path("team").asText());
        out.print(part.path("configuration").asText());
      }
    }
  }

  /** Prints the changes that the approval of a team's proposal would make. */
  static final class Diff extends OperatorCommand {
    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "the team")
    private String team;

    @Override
    JsonNode call(OperatorClient client) {
      return client.get("/v1/config/" + checkedTeamId(team) + "/diff");
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      out.print(answer.path("diff").asText());
      out.println("proposal " + answer.path("proposalDigest").asText());
      out.println("base " + answer.path("baseDigest").asText("none"));
    }
  }

  /** Approves a proposal, identified by the digests that were reviewed. */
  static final class Approve extends OperatorCommand {
    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "the team")
    private String team;

    @Option(
        name = "--proposal",
        metaVar = "DIGEST",
        required = true,
        usage = "proposal digest that 'config diff' printed")
    private String proposal;

    @Option(
        name = "--base",
        metaVar = "DIGEST",
        required = true,
        usage = "base digest that 'config diff' printed, or 'none'")
    private String base;

    @Override
    JsonNode call(OperatorClient client) {
      Map<String, String> body = new LinkedHashMap<>();
      body.put("proposalDigest", proposal);
      if (!base.equals("none")) {
        body.put("baseDigest", base);
      }
      return client.call(
          "POST",
          "/v1/config/" + checkedTeamId(team) + "/approve",
          Map.of("Content-Type", "application/json"),
          Json.bytes(body));
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      out.println(
          "accepted as version "
              + answer.path("version").asLong()
              + " digest "
              + answer.path("digest").asText());
    }
  }

  /**
   * Prints the version that each node holds. Optionally waits until a version is in force on all
   * nodes.
   */
  static final class Status extends OperatorCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    @Option(
        name = "--wait",
        metaVar = "SECONDS",
        usage = "wait until the newest version is in force on every node")
    private int waitSeconds;

    @Option(name = "--version", metaVar = "N", usage = "with --wait: at least this version")
    private long version;

    @Option(name = "--nodes", metaVar = "N", usage = "with --wait: at least this many nodes")
    private int nodes;

    @Override
    JsonNode call(OperatorClient client) {
      long deadline = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
      JsonNode answer = client.get("/v1/config/status");
      while (waitSeconds > 0 && !isInForce(answer)) {
        if (System.nanoTime() > deadline) {
          throw new FoxtaildoorException(
              ErrorKind.TIMEOUT,
              "version "
                  + answer.path("version").asLong()
                  + " is in force on "
                  + answer.path("inForce").asInt()
                  + " of "
                  + answer.path("total").asInt()
                  + " nodes after "
                  + waitSeconds
                  + " s");
        }
        pause();
        answer = client.get("/v1/config/status");
      }
      return answer;
    }

    private boolean isInForce(JsonNode answer) {
      return answer.path("version").asLong() >= version
          && answer.path("total").asInt() >= nodes
          && answer.path("inForce").asInt() == answer.path("total").asInt();
    }

    private static void pause() {
      try {
        Thread.sleep(POLL_INTERVAL.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new FoxtaildoorException(ErrorKind.CANCELLED, "interrupted", e);
      }
    }

    @Override
    void printText(JsonNode answer, PrintStream out) {
      out.printf(
          "version %d in force on %d of %d nodes%n",
          answer.path("version").asLong(),
          answer.path("inForce").asInt(),
          answer.path("total").asInt());
      for (JsonNode node : answer.path("nodes")) {
        printNode(node, out);
      }
    }

    private static void printNode(JsonNode node, PrintStream out) {
      String rejection = node.path("rejection").asText("");
      out.printf(
          "%-24s %-16s %-8s version %s%s%n",
          node.path("node").asText(),
          node.path("dataCentre").asText(),
          node.path("state").asText(),
          node.path("answered").asBoolean() ? node.path("version").asText() : "unknown",
          rejection.isEmpty()
              ? ""
              : " rejected " + node.path("rejectedVersion").asLong() + ": " + rejection);
    }
  }
}
