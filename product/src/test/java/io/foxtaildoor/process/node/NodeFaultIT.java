package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of failures and planned stops of node processes under load. */
public final class NodeFaultIT {
  /** Longer than the suspicion timeout of 4 s and the reader lease of 10 s, so that both expire. */
  private static final long PAUSE_MILLIS = 12_000;

  private Mesh mesh;

  @BeforeClass
  public void startMesh() throws IOException {
    mesh = Mesh.start();
  }

  @AfterClass(alwaysRun = true)
  public void stopMesh() {
    if (mesh != null) {
      mesh.close();
    }
  }

  /**
   * Guards against wrong responses and repeated executions when a node is killed and restarted
   * twice in a row.
   */
  @Test(priority = 1)
  public void killedNodeReturns() throws IOException {
    MeshNode victim = mesh.node(Mesh.BOOKINGS_B);
    try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
      for (int round = 0; round < 2; round++) {
        load.awaitAnswers(40);
        victim.process().kill();
        load.awaitAnswers(40);
        victim.start();
        Polling.await("service through the restarted node", () -> RequestLoad.isServed(victim));
      }
      load.awaitAnswers(40);
      RequestChecks.checkResults(mesh, load.finish(), victim);
    }
    mesh.awaitHealthyFleet();
  }

  /** Guards against a resumed node that keeps or distributes an older version. */
  @Test(priority = 2)
  public void resumedNodeCatchesUpWithNewestVersion() throws IOException {
    MeshNode paused = mesh.node(Mesh.INVENTORY_A);
    List<MeshNode> others = mesh.nodesExcept(Mesh.INVENTORY_A);
    long before = Mesh.versionOf(paused);
    try (RequestLoad load = RequestLoad.start(others)) {
      load.awaitAnswers(20);
      paused.process().pause();
      try {
        long version = mesh.operatorCalls(Mesh.BOOKINGS_A).amendAndApprove("bookings-team", 2100);
        assertEquals(version, before + 1);
        Polling.await(
            "the new version on the other nodes", () -> Mesh.allHoldVersion(others, version));
        Polling.pause(PAUSE_MILLIS);
      } finally {
        paused.process().resume();
      }
      mesh.awaitVersion(before + 1);
      load.awaitAnswers(20);
      RequestChecks.checkResults(mesh, load.finish(), null);
    }
    mesh.awaitHealthyFleet();
  }

  /**
   * Guards against a planned stop that interrupts requests in flight or makes requests through
   * other nodes fail.
   */
  @Test(priority = 3)
  public void terminatedNodeFinishesRequestsInFlight() throws IOException {
    MeshNode leaving = mesh.node(Mesh.INVENTORY_B);
    try (RequestLoad load = RequestLoad.start(mesh.nodesExcept(Mesh.INVENTORY_B))) {
      load.awaitAnswers(40);
      leaving.upstreamFault("{\"lateMillis\": 500}");
      CompletableFuture<RequestLoad.Result> inFlight =
          CompletableFuture.supplyAsync(
              () -> RequestLoad.send(leaving, "inventory", "POST", "/write", "", "in-flight"));
      Polling.await("the request in flight", () -> executions("in-flight") == 1);
      assertEquals(leaving.process().terminate(), 0, leaving.process().log());
      assertEquals(inFlight.join().status(), 200, inFlight.join().toString());
      leaving.upstreamFault("{}");
      load.awaitAnswers(40);
      List<RequestLoad.Result> results = load.finish();
      RequestChecks.checkResults(mesh, results, null);
      RequestChecks.checkAllAnswered(results);
    }
    leaving.start();
    mesh.awaitHealthyFleet();
  }

  private int executions(String id) {
    int executions = 0;
    for (MeshNode node : mesh.nodes()) {
      try {
        executions += node.executions(id);
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
    return executions;
  }

  /**
   * Guards against a lost configuration, and nodes that cannot join, when half of the nodes restart
   * together, the contact node among them.
   */
  @Test(priority = 4)
  public void halfOfNodesRestartTogetherWithContactNode() throws IOException {
    MeshNode contact = mesh.node(Mesh.BOOKINGS_A);
    MeshNode other = mesh.node(Mesh.INVENTORY_B);
    long version = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_B));
    List<MeshNode> rest = mesh.nodesExcept(Mesh.BOOKINGS_A, Mesh.INVENTORY_B);
    try (RequestLoad load = RequestLoad.start(rest)) {
      load.awaitAnswers(40);
      contact.process().kill();
      other.process().kill();
      load.awaitAnswers(40);
      contact.start();
      other.start();
      mesh.awaitVersion(version);
      load.awaitAnswers(40);
      RequestChecks.checkResults(mesh, load.finish(), null);
    }
    mesh.awaitHealthyFleet();
  }

  /**
   * Guards against a node that cannot rejoin or obtain the configuration from other nodes while the
   * platform is down.
   */
  @Test(priority = 5)
  public void killedNodeRejoinsWhilePlatformIsDown() throws IOException {
    MeshNode victim = mesh.node(Mesh.INVENTORY_A);
    long version = Mesh.versionOf(victim);
    assertTrue(version > 0);
    try (RequestLoad load = RequestLoad.start(mesh.nodesExcept(Mesh.INVENTORY_A))) {
      mesh.platformFault("{\"down\": \"refused\"}");
      try {
        victim.process().kill();
        load.awaitAnswers(40);
        victim.start();
        mesh.awaitVersion(version);
        Polling.await("service through the restarted node", () -> RequestLoad.isServed(victim));
      } finally {
        mesh.platformFault("{\"down\": \"none\"}");
      }
      RequestChecks.checkResults(mesh, load.finish(), null);
    }
    mesh.awaitHealthyFleet();
  }

  /** Guards against a planned stop of an upstream that interrupts or refuses requests. */
  @Test(priority = 6)
  public void terminatedUpstreamFailsNoRequest() throws IOException {
    MeshNode node = mesh.node(Mesh.BOOKINGS_B);
    try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
      load.awaitAnswers(40);
      assertEquals(node.upstream().terminate(), 0, node.upstream().log());
      load.awaitAnswers(40);
      List<RequestLoad.Result> results = load.finish();
      RequestChecks.checkAllAnswered(results);
      results.forEach(result -> assertTrue(result.fullyEchoed(), result.toString()));
    }
    node.startUpstream();
    mesh.awaitHealthyFleet();
  }
}
