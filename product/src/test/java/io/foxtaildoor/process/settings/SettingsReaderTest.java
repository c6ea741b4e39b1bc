package io.foxtaildoor.process.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.yaml.DocumentProblem;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SettingsReader} with the settings of a node. */
public class SettingsReaderTest {
  private static final String VALID =
      """
      node:
        cluster: pamoja
        region: ke-central
        dataCentre: ke-central-a
        address: 127.0.0.1
      platform:
        endpoints: ['127.0.0.1:6000']
      """;

  private static Optional<Settings> read(String document, List<DocumentProblem> problems) {
    return SettingsReader.read(
        document.getBytes(StandardCharsets.UTF_8), NodeSettings.ALL, problems);
  }

  /** Valid documents. */
  public static final class Valid {
    /** Guards against a missing default and against a configured value that is ignored. */
    @Test
    public void readsConfiguredValuesAndDefaults() {
      List<DocumentProblem> problems = new ArrayList<>();
      Settings settings = read(VALID + "stop:\n  drainTimeout: 1500ms\n", problems).orElseThrow();
      assertEquals(settings.get(NodeSettings.CLUSTER), "pamoja");
      assertEquals(settings.get(NodeSettings.PLATFORM_ENDPOINTS).get(0).getPort(), 6000);
      assertEquals(settings.get(NodeSettings.DRAIN_TIMEOUT), Duration.ofMillis(1_500));
      assertEquals(settings.get(NodeSettings.FANOUT), Integer.valueOf(4));
    }
  }

  /**
   * Documents with one problem each. Reading must report its path and line and return no settings.
   */
  public static final class Faults {
    @DataProvider
    public Object[][] faults() {
      return new Object[][] {
        {"", "", 1, "empty"},
        {"- a\n", "", 1, "must be a mapping"},
        {"node: [\n", "", 2, "malformed YAML"},
        {"{".repeat(50_000), "", 1, "nested more than 20 levels"},
        {VALID + "surprise: 1\n", "surprise", 8, "unknown key"},
        {VALID + "stop:\n  drain: 1s\n", "stop.drain", 9, "unknown key"},
        {VALID + "stop: 5s\n", "stop", 8, "section"},
        {VALID + "stop:\n  drainTimeout: 5\n", "stop.drainTimeout", 9, "duration"},
        {VALID + "stop:\n  drainTimeout: -5s\n", "stop.drainTimeout", 9, "duration"},
        {VALID + "stop:\n  drainTimeout: 11m\n", "stop.drainTimeout", 9, "from 0s to 10m"},
        {VALID + "stop:\n  drainTimeout: [1s]\n", "stop.drainTimeout", 9, "single value"},
        {VALID + "distribution:\n  fanout: 17\n", "distribution.fanout", 9, "from 1 to 16"},
        {VALID + "distribution:\n  fanout: many\n", "distribution.fanout", 9, "whole number"},
        {VALID + "listeners:\n  callerPort: 65536\n", "listeners.callerPort", 9, "65535"},
        {VALID + "contacts: 127.0.0.1:1\n", "contacts", 8, "list of IP:PORT"},
        {VALID + "contacts: ['somewhere:1']\n", "contacts", 8, "IP address"},
        {VALID + "contacts: ['127.0.0.1']\n", "contacts", 8, "IP:PORT"},
        {VALID + "contacts: ['127.0.0.1:0']\n", "contacts", 8, "from 1"},
        {VALID + "log:\n  level: loud\n", "log.level", 9, "one of"},
        {VALID + "log:\n  level: INFO\n  level: WARN\n", "log.level", 10, "duplicate key"},
        {VALID + "a: &x 1\nb: *x\n", "", 9, "aliases"},
        {VALID.replace("127.0.0.1\n", "host-7\n"), "node.address", 5, "IP address"},
        {VALID.replace("  cluster: pamoja\n", ""), "node.cluster", 1, "required"},
        {VALID.replace("pamoja", "Pamoja!"), "node.cluster", 2, "lower-case"},
        {VALID + "? [1]\n: 2\n", "", 8, "a key must be a text"},
      };
    }

    /**
     * Guards against invalid settings that are accepted, or whose message does not state the path,
     * line and reason.
     */
    @Test(dataProvider = "faults")
    public void reportsPathLineAndReason(String document, String path, int line, String reason) {
      List<DocumentProblem> problems = new ArrayList<>();
      assertTrue(read(document, problems).isEmpty());
      DocumentProblem problem =
          problems.stream()
              .filter(candidate -> candidate.message().contains(reason))
              .findFirst()
              .orElseThrow(() -> new AssertionError("no \"" + reason + "\" in " + problems));
      assertEquals(problem.path(), path);
      assertEquals(problem.line(), line);
    }

    /** Guards against a validation that stops at the first problem. */
    @Test
    public void reportsAllProblems() {
      List<DocumentProblem> problems = new ArrayList<>();
      read(VALID + "x: 1\ny: 2\nlog:\n  level: loud\n", problems);
      assertEquals(problems.size(), 3, problems.toString());
    }
  }

  /** The reference page. */
  public static final class Reference {
    /** Guards against a reference page that does not match the setting definitions. */
    @Test
    public void pageMatchesDefinitions() throws Exception {
      java.nio.file.Path page =
          java.nio.file.Path.of(System.getProperty("basedir", "."), "..", "docs", "settings.md");
      assertEquals(java.nio.file.Files.readString(page), NodeSettings.referencePage());
    }
  }
}
