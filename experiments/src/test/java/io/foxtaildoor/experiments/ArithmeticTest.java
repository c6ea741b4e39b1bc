package io.foxtaildoor.experiments;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests of the calculations and parsers behind the reported figures. */
public final class ArithmeticTest {
  /** Guards against a median that is one of the two middle samples instead of their mean. */
  @Test
  public void medianOfEvenCountIsMeanOfTheMiddleSamples() {
    assertEquals(new Samples(List.of(4.0, 1.0, 2.0, 10.0)).median(), 3.0);
    assertEquals(new Samples(List.of(5.0, 1.0, 3.0)).median(), 3.0);
    assertEquals(new Samples(List.of(5.0, 1.0, 3.0)).max(), 5.0);
    assertThrows(IllegalArgumentException.class, () -> new Samples(List.of()));
  }

  /** Guards against reading the wrong fields when the command name contains spaces or brackets. */
  @Test
  public void readsProcessorTimeAfterCommandNameWithSpaces() {
    String stat = "7 (a b) c) S 1 7 7 0 -1 4194560 100 0 0 0 25 17 0 0 20 0 9 0 1 1 1";
    assertEquals(ProcFiles.processorMillis(stat), 420);
  }

  /** Guards against reading the peak memory (VmHWM) instead of the current memory (VmRSS). */
  @Test
  public void readsResidentMemoryFromRssLine() {
    assertEquals(ProcFiles.residentKilobytes(List.of("VmHWM:\t 900 kB", "VmRSS:\t   812 kB")), 812);
    assertEquals(ProcFiles.residentKilobytes(List.of("Name:\tx")), 0);
  }

  /** Guards against an answer without a version that is taken for a version. */
  @Test
  public void readsVersionOfAnswerOrMinusOne() {
    assertEquals(VersionPoll.parseVersion("{\"version\":12,\"digest\":\"ab\"}"), 12);
    assertEquals(VersionPoll.parseVersion(""), -1);
  }

  /** Guards against misaligned columns when a row has no cell in a column. */
  @Test
  public void tableShowsMissingCellsAsDash() {
    String table = Report.table(List.of(Map.of("a", 1), Map.of("b", 200)));
    assertEquals(table, "a  b    \n1  -    \n-  200  \n");
  }
}
