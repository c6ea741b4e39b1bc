package io.foxtaildoor.process.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link LiveSettings}. */
public class LiveSettingsTest {
  private static Settings settings(int fanout, int retryPercent) {
    String document =
        """
        node: {cluster: pamoja, region: ke-central, dataCentre: ke-central-a, address: 127.0.0.1}
        platform: {endpoints: ['127.0.0.1:6000']}
        distribution: {fanout: %d}
        requests: {retryBudgetPercent: %d}
        """
            .formatted(fanout, retryPercent);
    return SettingsReader.read(
            document.getBytes(StandardCharsets.UTF_8), NodeSettings.ALL, new ArrayList<>())
        .orElseThrow();
  }

  /**
   * Guards against a reload that changes a setting which requires a restart, or that ignores a
   * reloadable one.
   */
  @Test
  public void replacesReloadableValuesOnly() {
    LiveSettings live = new LiveSettings(NodeSettings.ALL, settings(4, 10));
    LiveSettings.Change change = live.replace(settings(5, 20));
    assertEquals(change.applied(), List.of("requests.retryBudgetPercent"));
    assertEquals(change.deferred(), List.of("distribution.fanout"));
    assertEquals(live.get(NodeSettings.RETRY_BUDGET_PERCENT), Integer.valueOf(20));
    assertEquals(live.get(NodeSettings.FANOUT), Integer.valueOf(4));
  }

  /** Guards against a reload of unchanged settings that reports a change. */
  @Test
  public void equalSettingsChangeNothing() {
    LiveSettings live = new LiveSettings(NodeSettings.ALL, settings(4, 10));
    assertTrue(live.replace(settings(4, 10)).isEmpty());
  }
}
