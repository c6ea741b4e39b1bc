package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the start of a node process, and of signals that it receives meanwhile. */
public class StartSignalIT {
  private static final String SETTINGS =
      """
      node: {cluster: pamoja, region: ke-central, dataCentre: ke-central-a, address: 127.0.0.1}
      listeners: {callerPort: 0, peerPort: 0, operatorPort: 0}
      contacts: []
      platform: {endpoints: ['127.0.0.1:1'], startDelay: 200ms}
      requests: {retryBudgetPercent: %d}
      """;

  private static final String CHANGE_IN_FORCE = "in force: [requests.retryBudgetPercent]";

  /** The node loads this class after the entry point has run its first statements. */
  private static final String EARLY_CLASS = "io.foxtaildoor.process.cli.CommandLine ";

  private static final long HANG_UP_INTERVAL_MILLIS = 20;
  private static final long OPEN_TIMEOUT_SECONDS = 60;

  private Path directory;
  private Path settings;
  private Path classLog;
  private Path portFile;
  private TestProcess node;

  @BeforeMethod
  public void createDirectory() throws IOException {
    directory = Files.createTempDirectory("foxtaildoor-start");
    settings = directory.resolve("node.yaml");
    classLog = directory.resolve("classes.log");
    portFile = directory.resolve("node.ports");
  }

  @AfterMethod(alwaysRun = true)
  public void killNode() {
    if (node != null && node.isAlive()) {
      node.kill();
    }
  }

  /** Guards against a SIGHUP during the start that ends the node. */
  @Test
  public void hangUpsDuringStartDoNotEndNode() throws IOException {
    Files.writeString(settings, SETTINGS.formatted(10));
    startNode();
    awaitEarlyClass();
    int sent = 0;
    while (!Files.exists(portFile)) {
      assertTrue(node.isAlive(), "ended after " + sent + " SIGHUP: " + node.log());
      node.sendHangUp();
      sent++;
      Polling.pause(HANG_UP_INTERVAL_MILLIS);
    }
    assertTrue(sent > 1, "the node listened after " + sent + " SIGHUP");
    node.sendHangUp();
    Polling.await("a reload", () -> node.log().contains("settings reloaded"));
    assertTrue(node.isAlive(), node.log());
  }

  /**
   * Guards against a SIGHUP that ends the node, or is forgotten, if the settings change after the
   * node has begun to read them and before it can reload them.
   */
  @Test
  public void hangUpBeforeNodeRunsAppliesChange() throws IOException {
    try (OutputStream first = startNodeAndAwaitReading()) {
      replaceSettings(SETTINGS.formatted(20));
      for (int i = 0; i < 10; i++) {
        assertTrue(node.isAlive(), "ended after " + i + " SIGHUP: " + node.log());
        node.sendHangUp();
        Polling.pause(HANG_UP_INTERVAL_MILLIS);
      }
      first.write(SETTINGS.formatted(10).getBytes(StandardCharsets.UTF_8));
    }
    awaitChangeInForce();
  }

  /**
   * Guards against a change that is never noticed because the file changes without a signal between
   * the first reading and the first poll.
   */
  @Test
  public void changeBeforeNodeRunsIsNoticedWithoutSignal() throws IOException {
    try (OutputStream first = startNodeAndAwaitReading()) {
      replaceSettings(SETTINGS.formatted(20));
      first.write(SETTINGS.formatted(10).getBytes(StandardCharsets.UTF_8));
    }
    awaitChangeInForce();
  }

  /** Guards against a planned stop that looks like a failure because the node had not started. */
  @Test
  public void terminationBeforeSettingsAreReadEndsNode() throws IOException {
    OutputStream first = startNodeAndAwaitReading();
    assertEquals(node.terminate(), 0, node.log());
    first.close();
  }

  @DataProvider
  public Object[][] terminationDelays() {
    return new Object[][] {{0}, {50}, {100}, {200}, {300}, {400}, {600}, {800}};
  }

  /**
   * Guards against a planned stop that looks like a failure, or does not end, because the node was
   * starting.
   *
   * @param delayMillis time from the load of {@link #EARLY_CLASS} to SIGTERM
   */
  @Test(dataProvider = "terminationDelays")
  public void terminationDuringStartEndsNode(int delayMillis) throws IOException {
    Files.writeString(settings, SETTINGS.formatted(10));
    startNode();
    awaitEarlyClass();
    Polling.pause(delayMillis);
    assertEquals(node.terminate(), 0, node.log());
  }

  /**
   * Guards against a process that neither serves nor ends, and that no signal stops, because a
   * listener of the node could not bind its port.
   */
  @Test
  public void failedStartEndsProcess() throws IOException {
    try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Files.writeString(
          settings,
          SETTINGS
              .formatted(10)
              .replace("operatorPort: 0", "operatorPort: " + used.getLocalPort()));
      startNode();
      Polling.await("the end of the process", () -> !node.isAlive());
      assertEquals(node.terminate(), 1, node.log());
    }
  }

  private void startNode() {
    node =
        TestProcess.start(
            directory,
            "node",
            List.of(
                TestProcess.java(),
                "-XX:+UseSerialGC",
                "-Xmx40m",
                "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load=info:file=" + classLog,
                "-jar",
                System.getProperty("foxtaildoor.binary"),
                "node",
                "--settings",
                settings.toString(),
                "--port-file",
                portFile.toString()));
  }

  private void awaitEarlyClass() {
    Polling.await("the load of " + EARLY_CLASS, () -> readClassLog().contains(EARLY_CLASS));
  }

  private String readClassLog() {
    try {
      return Files.exists(classLog) ? Files.readString(classLog) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Starts a node whose settings file is a pipe, and waits until the node reads it. The node starts
   * with what is written to the returned stream.
   */
  private OutputStream startNodeAndAwaitReading() throws IOException {
    TestProcess pipe =
        TestProcess.start(directory, "mkfifo", List.of("mkfifo", settings.toString()));
    Polling.await("the pipe", () -> !pipe.isAlive());
    startNode();
    return CompletableFuture.supplyAsync(this::openSettings)
        .orTimeout(OPEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  /** Opens the settings file for writing, which blocks on a pipe until the node reads it. */
  private OutputStream openSettings() {
    try {
      return Files.newOutputStream(settings);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Replaces the settings file. A reader of the file that was there before keeps that file. */
  private void replaceSettings(String text) throws IOException {
    Path next = directory.resolve("next.yaml");
    Files.writeString(next, text);
    Files.move(next, settings, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private void awaitChangeInForce() {
    node.awaitFile(portFile);
    Polling.await("the changed settings", () -> node.log().contains(CHANGE_IN_FORCE));
    assertTrue(node.isAlive(), node.log());
  }
}
