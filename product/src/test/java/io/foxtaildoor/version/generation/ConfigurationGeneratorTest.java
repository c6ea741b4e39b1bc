package io.foxtaildoor.version.generation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.questionnaire.BadQuestionnaires;
import io.foxtaildoor.version.questionnaire.Questionnaire;
import io.foxtaildoor.version.questionnaire.QuestionnaireReader;
import io.foxtaildoor.version.questionnaire.ReadResult;
import io.foxtaildoor.version.questionnaire.ServiceAnswer;
import io.foxtaildoor.version.questionnaire.WorkAnswer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationGenerator}, {@link ConfigurationRenderer} and {@link UnifiedDiff}. */
public class ConfigurationGeneratorTest {
  private static final String QUESTIONNAIRE =
      """
      member: m
      team: "007"
      services:
        - {id: b, callers: [a, c, b], slots: 2, connections: 3, reserved: {LOW: 1, HIGH: 0}}
        - {id: a, callers: ["*"], slots: 2, connections: 3, coldStart: 90s}
        - {id: c, callers: [], slots: 2, connections: 3}
      work:
        - {name: w2, host: h, methods: [PUT, GET], path: /x, service: a, idempotent: true,
           deadline: 1500ms, maxBody: 3MiB}
        - {name: w1, host: h, path: "/y", prefix: true, service: b, idempotent: false,
           deadline: 2m, maxBody: 0B, rank: LOW}
      """;

  private static Questionnaire read(String document) {
    ReadResult result = QuestionnaireReader.read(document);
    assertTrue(result instanceof ReadResult.Valid, result.toString());
    return ((ReadResult.Valid) result).questionnaire();
  }

  /** Tests that generating and rendering are deterministic. */
  public static final class Determinism {
    /** Guards against digests that depend on the order of the answers in the questionnaire. */
    @Test
    public void generatedBytesDoNotDependOnAnswerOrder() {
      Questionnaire answers = read(QUESTIONNAIRE);
      byte[] expected = ConfigurationGenerator.generate(answers).toByteArray();
      Random random = new Random(3);
      for (int i = 0; i < 50; i++) {
        List<ServiceAnswer> services = new ArrayList<>();
        answers.services().forEach(service -> services.add(withShuffledCallers(service, random)));
        List<WorkAnswer> work = new ArrayList<>(answers.work());
        Collections.shuffle(services, random);
        Collections.shuffle(work, random);
        Questionnaire shuffled =
            new Questionnaire(answers.member(), answers.team(), services, work);
        assertEquals(ConfigurationGenerator.generate(shuffled).toByteArray(), expected);
      }
    }

    private static ServiceAnswer withShuffledCallers(ServiceAnswer service, Random random) {
      List<String> callers = new ArrayList<>(service.callers());
      Collections.shuffle(callers, random);
      return new ServiceAnswer(
          service.id(),
          callers,
          service.slots(),
          service.connections(),
          service.coldStart(),
          service.reservedPercent());
    }

    /** Guards against a rendering, which operators review, that omits or changes a value. */
    @Test
    public void renderedConfigurationReadsBackUnchanged() {
      for (String document : List.of(QUESTIONNAIRE, BadQuestionnaires.VALID)) {
        TeamConfiguration configuration = ConfigurationGenerator.generate(read(document));
        String rendered = ConfigurationRenderer.render(configuration);
        assertEquals(ConfigurationGenerator.generate(read(rendered)), configuration, rendered);
      }
    }
  }

  /** Tests the unified diff of two texts. */
  public static final class Difference {
    /** Guards against hunks with wrong line numbers or missing context lines. */
    @Test
    public void showsChangedLinesWithContext() {
      String before = "a\nb\nc\nd\ne\nf\ng\nh\ni\nj\nk\nl\n";
      String after = "a\nB\nc\nd\ne\nf\ng\nh\ni\nj\nl\nm\n";
      assertEquals(
          UnifiedDiff.between("x", before, "y", after),
          """
          --- x
          +++ y
          @@ -1,5 +1,5 @@
           a
          -b
          +B
           c
           d
           e
          @@ -8,5 +8,5 @@
           h
           i
           j
          -k
           l
          +m
          """);
      assertEquals(UnifiedDiff.between("x", "", "y", "a\n"), "--- x\n+++ y\n@@ -0,0 +1,1 @@\n+a\n");
      assertEquals(UnifiedDiff.between("x", before, "y", before), "");
    }

    /** Guards against a comparison of large texts whose table does not fit into memory. */
    @Test
    public void comparesLargeTextsInBoundedMemory() {
      String before = "a\n".repeat(20_000);
      String after = "b\n".repeat(20_000);
      assertEquals(UnifiedDiff.between("x", before, "y", after).lines().count(), 40_003);
    }
  }
}
