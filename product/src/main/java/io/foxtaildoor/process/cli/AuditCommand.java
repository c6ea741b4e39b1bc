package io.foxtaildoor.process.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** The {@code audit} subcommand: prints the newest entries of the audit trail. */
final class AuditCommand extends OperatorCommand {
  @Option(name = "--limit", metaVar = "N", usage = "maximum number of entries, 1 to 200")
  private int limit = 50;

  @Override
  JsonNode call(OperatorClient client) {
    return client.get("/v1/audit?limit=" + limit);
  }

  @Override
  void printText(JsonNode answer, PrintStream out) {
    for (JsonNode entry : answer.path("entries")) {
      out.printf(
          "%s %-12s %s/%s team %s version %s %s%n",
          entry.path("at").asText(),
          entry.path("action").asText(),
          entry.path("member").asText("-"),
          entry.path("operator").asText("-"),
          entry.path("team").asText("-"),
          entry.path("version").asText("-"),
          entry.path("detail").asText(""));
    }
  }
}
