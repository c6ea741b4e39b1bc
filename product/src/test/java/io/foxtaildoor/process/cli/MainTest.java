package io.foxtaildoor.process.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Main}. */
public class MainTest {
  private record Result(int code, String out, String err) {}

  private static Result run(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code =
        Main.run(
            args,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new Result(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  /** Invalid arguments. */
  public static final class Usage {
    @DataProvider
    public Object[][] badArguments() {
      return new Object[][] {
        {new String[] {"fly"}, "unknown command"},
        {new String[] {"config"}, "unknown command"},
        {new String[] {"config", "show"}, "--node"},
        {new String[] {"config", "show", "--node"}, "--node"},
        {new String[] {"config", "show", "--node", "127.0.0.1:1", "--output", "xml"}, "xml"},
        {new String[] {"check", "--settings", "/nonexistent.yaml"}, "cannot be read"},
        {new String[] {"check"}, "--settings"},
        {new String[] {"config", "show", "--node", "a b:1"}, "HOST:PORT"},
      };
    }

    /** Guards against invalid arguments that are accepted or that give the wrong exit code. */
    @Test(dataProvider = "badArguments")
    public void invalidArgumentsExitWithUsageCode(String[] args, String reason) {
      Result result = run(args);
      assertEquals(result.code(), Main.EXIT_USAGE, result.err());
      assertTrue(result.err().contains(reason), result.err());
    }

    /** Guards against an unreachable node that is reported as invalid input. */
    @Test
    public void unreachableNodeIsUnavailable() {
      assertEquals(run("audit", "--node", "127.0.0.1:1").code(), 4);
    }
  }

  /** Help output. */
  public static final class Help {
    /** Guards against a command that is missing from the list of commands. */
    @Test
    public void overviewListsCommands() {
      Result result = run("--help");
      assertEquals(result.code(), Main.EXIT_SUCCESS);
      assertTrue(result.out().contains("config approve"));
    }

    /** Guards against a help option that is rejected because required options are missing. */
    @Test
    public void commandHelpNeedsNoRequiredOptions() {
      Result result = run("config", "approve", "--help");
      assertEquals(result.code(), Main.EXIT_SUCCESS);
      assertTrue(result.out().contains("--proposal"));
    }
  }
}
