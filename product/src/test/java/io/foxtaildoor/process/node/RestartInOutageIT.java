package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.process.node.ManagedMesh.ManagedNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of node processes that are killed and started again while the platform's store is down. */
public class RestartInOutageIT {
  private static final String STOP_LIMIT = "3s";
  private static final Pattern REPORTS_PORT =
      Pattern.compile("reportsEndpoint: \"127\\.0\\.0\\.1:(\\d+)\"");

  /**
   * Time after the start of a node in which a report may have been sent before the start. It is
   * shorter than the longest delay of a report, which counts from a later moment of the start.
   */
  private static final long DELAYED_REPORTS_NANOS = TimeUnit.SECONDS.toNanos(8);

  private ManagedMesh mesh;
  private ManagedNode node;
  private String instance;

  /** Starts a node whose instance is known, and a second node. */
  @BeforeMethod
  public void startMesh() throws IOException {
    mesh = ManagedMesh.start();
    node = mesh.startNode("node-a", STOP_LIMIT);
    instance = server(node);
    mesh.startNode("node-b", STOP_LIMIT);
  }

  @AfterMethod(alwaysRun = true)
  public void stopMesh() {
    mesh.close();
  }

  /** Sends a request and returns the id of the instance that served it, or an empty string. */
  private static String server(ManagedNode node) throws IOException {
    HttpResponse<String> response =
        LoopbackHttp.send(
            "GET", node.callerPort(), "/lookup/1", Map.of("Host", ManagedMesh.HOST), "");
    String signature = response.headers().firstValue("X-Foxtaildoor-Server-Signature").orElse("");
    return signature.split("\\.", 2)[0];
  }

  private boolean isServedByOwnInstance() {
    try {
      return server(node).equals(instance);
    } catch (IOException e) {
      return false;
    }
  }

  private int leave() throws IOException {
    Matcher settings = REPORTS_PORT.matcher(Files.readString(node.settings()));
    assertTrue(settings.find());
    int port = Integer.parseInt(settings.group(1));
    return LoopbackHttp.send("DELETE", port, "/instances/" + instance, Map.of(), "").statusCode();
  }

  private void restartInOutage() throws IOException {
    mesh.killStore();
    node.process().kill();
    node = mesh.restart("node-a", node);
  }

  /**
   * Guards against a restarted node that uses an instance again whose departure its previous
   * process has acknowledged, because a report that was sent before arrives late.
   */
  @Test
  public void departedInstanceIsNotUsed() throws IOException {
    assertEquals(leave(), 200);
    long startNanos = System.nanoTime();
    restartInOutage();
    Set<String> servers = new HashSet<>();
    while (System.nanoTime() - startNanos < DELAYED_REPORTS_NANOS) {
      servers.add(server(node));
      Polling.pause(20);
    }
    assertFalse(servers.contains(instance), node.process().log());
    servers.remove("");
    assertFalse(servers.isEmpty(), "the node did not serve in time: " + node.process().log());
  }

  /** Guards against a live instance that stays unused until the store is back. */
  @Test
  public void liveInstanceIsUsedAgain() throws IOException {
    restartInOutage();
    Polling.await("a request served by the instance of node-a", this::isServedByOwnInstance);
  }
}
