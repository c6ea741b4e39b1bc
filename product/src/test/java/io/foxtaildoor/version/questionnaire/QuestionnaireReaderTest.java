package io.foxtaildoor.version.questionnaire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.version.questionnaire.ReadResult.Invalid;
import io.foxtaildoor.version.questionnaire.ReadResult.Valid;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link QuestionnaireReader}. */
public class QuestionnaireReaderTest {
  /** Tests with documents that must be accepted. */
  public static final class ValidDocuments {
    /** Guards against values that are read with the wrong unit or assigned to the wrong field. */
    @Test
    public void readsAllValues() {
      Questionnaire read = valid(BadQuestionnaires.VALID);
      ServiceAnswer service = read.services().get(0);
      WorkAnswer work = read.work().get(0);
      assertEquals(service.coldStart(), Duration.ofSeconds(5));
      assertEquals(service.reservedPercent(), Map.of(Rank.HIGH, 20, Rank.NORMAL, 10, Rank.LOW, 5));
      assertEquals(List.of(service.slots(), service.connections()), List.of(9, 110));
      assertEquals(work.deadline(), Duration.ofMillis(500));
      assertEquals(work.maxBodyBytes(), 64L << 10);
      assertEquals(List.of(work.prefix(), work.idempotent()), List.of(true, true));
      assertEquals(work.rank(), Rank.URGENT);
    }

    /** Guards against defaults that differ from the documented ones. */
    @Test
    public void fillsDefaults() {
      String document =
          """
          {member: m, team: t, services: [{id: s, callers: [s], slots: 1, connections: 1}], work: [
            {name: w, host: h, path: /, service: s, idempotent: false, deadline: 1m}]}
          """;
      Questionnaire read = valid(document);
      ServiceAnswer service = read.services().get(0);
      WorkAnswer work = read.work().get(0);
      assertEquals(service.coldStart(), Duration.ZERO);
      assertEquals(service.reservedPercent(), Map.of());
      assertEquals(work.methods(), List.of());
      assertEquals(work.rank(), Rank.NORMAL);
      assertEquals(work.maxBodyBytes(), 1L << 20);
    }

    private static Questionnaire valid(String document) {
      ReadResult result = QuestionnaireReader.read(document);
      assertTrue(result instanceof Valid, result.toString());
      return ((Valid) result).questionnaire();
    }
  }

  /** Tests with documents that must be rejected. */
  public static final class InvalidDocuments {
    @DataProvider
    Iterator<Object[]> cases() {
      return BadQuestionnaires.CASES.stream().map(bad -> new Object[] {bad}).iterator();
    }

    /** Guards against a fault that is accepted, or reported without its path and line. */
    @Test(dataProvider = "cases")
    public void reportsProblemWithPlace(BadQuestionnaires.Case bad) {
      ReadResult result = QuestionnaireReader.read(bad.document());
      assertTrue(result instanceof Invalid, "accepted");
      List<Problem> problems = ((Invalid) result).problems();
      assertTrue(
          problems.stream()
              .anyMatch(
                  problem ->
                      problem.kind() == bad.kind()
                          && problem.path().equals(bad.path())
                          && problem.line() == bad.line()),
          problems.toString());
    }

    /** Guards against a reader that stops at the first fault. */
    @Test
    public void reportsAllFaultsAtOnce() {
      String document =
          BadQuestionnaires.VALID
              .replace("slots: 9", "slots: 0")
              .replace("deadline: 500ms", "deadline: soon")
              .replace("rank: URGENT", "rnak: URGENT")
              .replace("member: pamoja", "member: Pamoja");
      List<Problem> problems = ((Invalid) QuestionnaireReader.read(document)).problems();
      assertEquals(problems.stream().map(Problem::line).toList(), List.of(1, 6, 18, 19));
    }

    /** Guards against a response whose size grows with that of a malicious document. */
    @Test
    public void boundsNumberOfProblems() {
      String document = BadQuestionnaires.VALID + "x: 1\n".repeat(5_000);
      List<Problem> problems = ((Invalid) QuestionnaireReader.read(document)).problems();
      assertEquals(problems.size(), ProblemList.MAX_PROBLEMS + 1);
    }

    /** Guards against small malicious documents that overflow the stack or take excessive time. */
    @Test
    public void hostileNestingIsRefused() {
      for (String unit :
          List.of("[", "{a: ", "- ", "? ", "a: {", "[{", "&a [", "!!x [", "*a ", "%")) {
        String document = unit.repeat(Limits.MAX_DOCUMENT_CHARS / unit.length());
        assertTrue(QuestionnaireReader.read(document) instanceof Invalid, unit);
      }
      String expansion = "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\nd: [*c, *c]\n";
      List<Problem> problems = ((Invalid) QuestionnaireReader.read(expansion)).problems();
      assertTrue(
          problems.stream().filter(p -> p.kind() == ProblemKind.YAML_FEATURE).count() >= 9,
          problems.toString());
    }

    /** Guards against exceptions that the YAML library throws for randomly corrupted text. */
    @Test
    public void damagedTextNeverThrows() {
      Random random = new Random(7);
      String alphabet = "&*!|>%@`'\"[]{}:,-?#\t\n \\\u0000\u0085\ufeff0aZ~<=.";
      for (int i = 0; i < 3_000; i++) {
        StringBuilder text = new StringBuilder(BadQuestionnaires.VALID);
        for (int j = random.nextInt(4); j >= 0; j--) {
          int at = random.nextInt(text.length());
          char damage = alphabet.charAt(random.nextInt(alphabet.length()));
          text.replace(at, at + random.nextInt(3), String.valueOf(damage));
        }
        assertNotNull(QuestionnaireReader.read(text.toString()));
      }
    }
  }
}
