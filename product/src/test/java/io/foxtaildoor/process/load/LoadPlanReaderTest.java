package io.foxtaildoor.process.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link LoadPlanReader}. */
public class LoadPlanReaderTest {
  private static final String VALID =
      """
      warmUp: 500ms
      duration: 2s
      seed: 7
      connectionsPerTarget: 20
      streams:
        - name: bookings
          url: http://127.0.0.1:8080/availability?day=1
          headers: {Host: bookings.pamoja}
          rank: URGENT
          ratePerSecond: 50.5
          arrival: poisson
          deadline: 500ms
          echo: true
      """;

  /** Guards against keys that are ignored and against missing defaults. */
  @Test
  public void readsPlan() {
    LoadPlan plan = LoadPlanReader.read(VALID);
    StreamPlan stream = plan.streams().get(0);
    assertEquals(plan.warmUp(), Duration.ofMillis(500));
    assertEquals(plan.connectionsPerTarget(), 20);
    assertEquals(stream.arrival(), ArrivalProcess.POISSON);
    assertEquals(stream.requestTarget(), "/availability?day=1");
    assertEquals(stream.method(), "GET");
  }

  /** Replacements in the valid plan that make it invalid. */
  @DataProvider
  public Object[][] invalid() {
    return new Object[][] {
      {"", ""},
      {"seed: 7", "sead: 7"},
      {"2s", "2 years"},
      {"2s", "2m\nduration: ["},
      {"500ms\nduration: 2s", "500ms\nduration: 61m"},
      {"http:", "https:"},
      {"50.5", "0"},
      {"poisson", "sometimes"},
      {"connectionsPerTarget: 20", "connectionsPerTarget: 0"},
      {"name: bookings", "name: ''"},
    };
  }

  /** Guards against an invalid plan that is accepted or that fails with another error kind. */
  @Test(dataProvider = "invalid")
  public void rejectsInvalid(String part, String replacement) {
    String yaml = part.isEmpty() ? "" : VALID.replace(part, replacement);
    FoxtaildoorException e =
        expectThrows(FoxtaildoorException.class, () -> LoadPlanReader.read(yaml));
    assertEquals(e.kind(), ErrorKind.INVALID_INPUT);
  }
}
