package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.platform.WireTexts;
import io.foxtaildoor.process.node.ManagedMesh.ManagedNode;
import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Process tests of nodes on a managed platform. */
public class ManagedPlatformIT {
  private ManagedMesh platform;

  @BeforeMethod
  public void startPlatform() throws IOException {
    platform = ManagedMesh.start();
  }

  @AfterMethod(alwaysRun = true)
  public void endPlatform() {
    platform.close();
  }

  /** Guards against a node that a hang-up ends, or that does not take new settings. */
  @Test
  public void hangUpReadsSettingsAgain() throws IOException {
    ManagedNode node = platform.startNode("node-a", "2s");
    String settings = Files.readString(node.settings());
    Files.writeString(
        node.settings(),
        settings.replace(ManagedMesh.bounds("2s"), WireTexts.bounds("2s", "0.1", 50)));
    node.process().sendHangUp();
    Polling.await(
        "the new settings", () -> node.process().log().contains("in force: [platform.bounds]"));
    assertTrue(ManagedMesh.isServed(node), node.process().log());

    Files.writeString(node.settings(), "{".repeat(50_000));
    node.process().sendHangUp();
    Polling.await(
        "the refusal of faulty settings",
        () -> node.process().log().contains("settings not reloaded"));
    assertTrue(ManagedMesh.isServed(node), node.process().log());
  }

  /** Guards against a change of the file without a signal that goes unnoticed. */
  @Test
  public void changedFileIsReadWithoutSignal() throws IOException {
    ManagedNode node = platform.startNode("node-a", "2s");
    String settings = Files.readString(node.settings());
    Files.writeString(
        node.settings(),
        settings.replace(ManagedMesh.bounds("2s"), WireTexts.bounds("2s", "0.2", 40)));
    Polling.await(
        "the new settings", () -> node.process().log().contains("in force: [platform.bounds]"));
    assertTrue(ManagedMesh.isServed(node), node.process().log());
  }

  /**
   * Guards against a stop that outlasts its limit or refuses callers before they could learn of it,
   * and against a return that does not serve.
   */
  @Test
  public void stopsWithinItsLimitAndReturns() throws IOException {
    ManagedNode node = platform.startNode("node-a", "3s");
    platform.startNode("node-b", "3s");
    long begin = System.nanoTime();
    CompletableFuture<Integer> code = CompletableFuture.supplyAsync(node.process()::terminate);
    Polling.await("readiness says no", () -> notReady(node));
    assertTrue(ManagedMesh.isServed(node), "a stopping node serves until callers have left");
    assertEquals(code.join(), Integer.valueOf(0));
    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    assertTrue(tookMillis < 3_000, "the stop took " + tookMillis + " ms");
    ManagedNode again = platform.restart("node-a", node);
    assertEquals(ManagedMesh.readiness(again), 200);
  }

  private static boolean notReady(ManagedNode node) {
    try {
      return ManagedMesh.readiness(node) != 200;
    } catch (IOException e) {
      return false;
    }
  }
}
