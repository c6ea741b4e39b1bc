package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of faulty upstreams and of malformed input to the listeners of a node. */
public final class UpstreamFaultIT {
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

  @DataProvider
  Object[][] upstreamFaults() {
    return new Object[][] {
      {"{\"hang\": true}"},
      {"{\"hang\": true, \"share\": 0.3}"},
      {"{\"shed\": true}"},
      {"{\"shed\": true, \"share\": 0.5}"},
      {"{\"lateMillis\": 2500}"},
      {"{\"lateMillis\": 2500, \"share\": 0.3}"},
      {"{\"closeMidAnswer\": true}"},
      {"{\"malformed\": true, \"share\": 0.5}"},
      {"{\"slowFactor\": 20, \"load\": 0, \"health\": 200}"}
    };
  }

  /**
   * Guards against repeated executions, truncated responses and errors without a type when one
   * upstream is faulty.
   */
  @Test(priority = 1, dataProvider = "upstreamFaults")
  public void faultyUpstreamYieldsCompleteAnswersOrTypedErrors(String fault) throws IOException {
    MeshNode faulty = mesh.node(Mesh.BOOKINGS_A);
    List<RequestLoad.Result> results;
    try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
      load.awaitAnswers(20);
      faulty.upstreamFault(fault);
      load.awaitAnswers(80);
      faulty.upstreamFault("{}");
      load.awaitAnswers(20);
      results = load.finish();
    } finally {
      faulty.upstreamFault("{}");
    }
    RequestChecks.checkResults(mesh, results, null);
    mesh.awaitHealthyFleet();
  }

  /**
   * Guards against a second execution when a caller repeats a request with an idempotency key whose
   * outcome is unknown.
   */
  @Test(priority = 2)
  public void repeatedRequestWithIdempotencyKeyRunsOnce() throws IOException {
    MeshNode caller = mesh.node(Mesh.INVENTORY_A);
    for (MeshNode node : mesh.nodes()) {
      node.upstreamFault("{\"closeMidAnswer\": true}");
    }
    try {
      for (int i = 0; i < 10; i++) {
        String id = "keyed-" + i;
        RequestLoad.Result first = RequestLoad.send(caller, "bookings", "POST", "/write", id, id);
        RequestLoad.Result repeat = RequestLoad.send(caller, "bookings", "POST", "/write", id, id);
        assertFalse(first.kind().isEmpty(), first.toString());
        assertTrue(repeat.status() >= 400 && !repeat.kind().isEmpty(), repeat.toString());
        assertFalse(repeat.outcome().equals("not-run"), repeat.toString());
        RequestChecks.checkResults(mesh, List.of(first, repeat), null);
      }
    } finally {
      for (MeshNode node : mesh.nodes()) {
        node.upstreamFault("{}");
      }
    }
    Polling.await("service after the faults", () -> RequestLoad.isServed(caller));
  }

  /** Guards against a node that fails when it receives random, truncated or oversized input. */
  @Test(priority = 3)
  public void malformedBytesDoNotDisturbNode() throws IOException {
    MeshNode target = mesh.node(Mesh.INVENTORY_B);
    SplittableRandom random = new SplittableRandom(7);
    try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
      load.awaitAnswers(20);
      for (int i = 0; i < 60; i++) {
        for (int port : new int[] {target.callerPort(), target.peerPort(), target.operatorPort()}) {
          sendOverTcp(port, malformedBytes(random, i));
        }
        sendOverUdp(target.peerPort(), malformedBytes(random, i));
      }
      load.awaitAnswers(40);
      List<RequestLoad.Result> results = load.finish();
      RequestChecks.checkResults(mesh, results, null);
      RequestChecks.checkAllAnswered(results);
    }
    assertTrue(target.process().isAlive());
    assertEquals(Mesh.versionOf(target), Mesh.versionOf(mesh.node(Mesh.BOOKINGS_A)));
    mesh.awaitHealthyFleet();
  }

  /**
   * Returns random bytes, a request with a truncated body, an oversized request head, or an
   * oversized frame length.
   */
  private static byte[] malformedBytes(SplittableRandom random, int kind) {
    byte[] bytes = new byte[1 + random.nextInt(4_000)];
    random.nextBytes(bytes);
    switch (kind % 4) {
      case 0 -> {
        return bytes;
      }
      case 1 -> {
        return ascii(
            "POST /read HTTP/1.1\r\nHost: bookings.pamoja\r\nContent-Length: 100\r\n\r\nx");
      }
      case 2 -> {
        return ascii("GET / HTTP/1.1\r\nx-filler: " + "a".repeat(60_000));
      }
      default -> {
        Arrays.fill(bytes, 0, Math.min(4, bytes.length), (byte) 0x7f);
        return bytes;
      }
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  }

  @SuppressWarnings("EmptyCatch")
  private static void sendOverTcp(int port, byte[] bytes) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      OutputStream out = socket.getOutputStream();
      out.write(bytes);
      out.flush();
    } catch (java.net.SocketException e) {
      // The node may close the connection before all bytes are written. If the node no longer
      // accepts
      // connections, the checks after the load fail.
    }
  }

  private static void sendOverUdp(int port, byte[] bytes) throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      int length = Math.min(bytes.length, 60_000);
      socket.send(new DatagramPacket(bytes, length, InetAddress.getLoopbackAddress(), port));
    }
  }
}
