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

/** Tests of node processes on a managed platform. */
public class ManagedPlatformIT {
  private ManagedMesh mesh;

  @BeforeMethod
  public void startMesh() throws IOException {
    mesh = ManagedMesh.start();
  }

  @AfterMethod(alwaysRun = true)
  public void stopMesh() {
    mesh.close();
  }

  /**
   * Guards against a SIGHUP that ends the node or does not apply new settings, and against invalid
   * settings that end the node.
   */
  @Test
  public void hangUpSignalReloadsSettings() throws IOException {
    ManagedNode node = mesh.startNode("node-a", "2s");
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
        "the refusal of invalid settings",
        () -> node.process().log().contains("settings not reloaded"));
    assertTrue(ManagedMesh.isServed(node), node.process().log());
  }

  /** Guards against a changed settings file that goes unnoticed when no signal is sent. */
  @Test
  public void changedSettingsFileIsReloadedWithoutSignal() throws IOException {
    ManagedNode node = mesh.startNode("node-a", "2s");
    String settings = Files.readString(node.settings());
    Files.writeString(
        node.settings(),
        settings.replace(ManagedMesh.bounds("2s"), WireTexts.bounds("2s", "0.2", 40)));
    Polling.await(
        "the new settings", () -> node.process().log().contains("in force: [platform.bounds]"));
    assertTrue(ManagedMesh.isServed(node), node.process().log());
  }

  /**
   * Guards against a stop that exceeds its time limit or refuses callers before they could notice
   * the stop, and against a restarted node that is not ready.
   */
  @Test
  public void nodeStopsWithinLimitAndServesAfterRestart() throws IOException {
    ManagedNode node = mesh.startNode("node-a", "3s");
    mesh.startNode("node-b", "3s");
    long startNanos = System.nanoTime();
    CompletableFuture<Integer> exitCode = CompletableFuture.supplyAsync(node.process()::terminate);
    Polling.await("the node reports that it is not ready", () -> isNotReady(node));
    assertTrue(
        ManagedMesh.isServed(node), "a stopping node must serve requests until callers have left");
    assertEquals(exitCode.join(), Integer.valueOf(0));
    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertTrue(tookMillis < 3_000, "the stop took " + tookMillis + " ms");
    ManagedNode restarted = mesh.restart("node-a", node);
    assertEquals(ManagedMesh.readinessStatus(restarted), 200);
  }

  private static boolean isNotReady(ManagedNode node) {
    try {
      return ManagedMesh.readinessStatus(node) != 200;
    } catch (IOException e) {
      return false;
    }
  }
}
