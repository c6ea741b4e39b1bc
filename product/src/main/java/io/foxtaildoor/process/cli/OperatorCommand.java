package io.foxtaildoor.process.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** Base class of the commands that call a node's operator interface. */
abstract class OperatorCommand implements Command {
  /**
   * Environment variable with the credentials. Command-line options would be visible in the process
   * list.
   */
  static final String CREDENTIALS_VARIABLE = "FOXTAILDOOR_CREDENTIALS";

  /** Output format of a command. */
  enum OutputFormat {
    /** Human-readable text. */
    TEXT,
    /** The node's JSON response, for scripts. */
    JSON
  }

  @Option(
      name = "--node",
      metaVar = "HOST:PORT",
      required = true,
      usage = "operator address of any node")
  private String node;

  @Option(name = "--output", metaVar = "text|json", usage = "output format")
  private OutputFormat output = OutputFormat.TEXT;

  /** Calls the node and returns its response. */
  abstract JsonNode call(OperatorClient client);

  /** Prints the response as human-readable text. */
  abstract void printText(JsonNode answer, PrintStream out);

  /** Returns the exit code for the response to a successful call. */
  int exitCode(JsonNode answer) {
    return Main.EXIT_SUCCESS;
  }

  @Override
  public final int run(PrintStream out, PrintStream err) {
    OperatorClient client = new OperatorClient(node, System.getenv(CREDENTIALS_VARIABLE));
    JsonNode answer = call(client);
    if (output == OutputFormat.JSON) {
      out.println(answer.toPrettyString());
    } else {
      printText(answer, out);
    }
    return exitCode(answer);
  }

  static byte[] readFile(String file) {
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (IOException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "file " + file + " cannot be read: " + e.getMessage(), e);
    }
  }

  /** Converts a team id to lower case and validates it before it is inserted into a path. */
  static String checkedTeamId(String text) {
    return new TeamId(text.toLowerCase(Locale.ROOT)).value();
  }
}
