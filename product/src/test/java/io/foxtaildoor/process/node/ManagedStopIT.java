package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.foxtaildoor.process.node.ManagedMesh.ManagedNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of the planned stop of a node on a managed platform while callers keep using their
 * connections.
 */
public class ManagedStopIT {
  /** Longest time that a request takes, by its route. */
  private static final Duration ROUTE_TIMEOUT = Duration.ofMillis(3_500);

  /**
   * A connection that ends this soon after a request was sent was closed before the node read the
   * request.
   */
  private static final Duration CROSSING = Duration.ofMillis(200);

  private ManagedMesh mesh;

  @BeforeMethod
  public void startMesh() throws IOException {
    String timeout = ROUTE_TIMEOUT.toMillis() + "ms";
    mesh = ManagedMesh.start(text -> text.replace("1200ms", timeout).replace("1500ms", timeout));
  }

  @AfterMethod(alwaysRun = true)
  public void stopMesh() {
    mesh.close();
  }

  /**
   * Guards against a stopping node that closes the connections of callers at the drain timeout of
   * its settings although the platform leaves more time for the requests in progress.
   */
  @Test
  public void requestIsAnsweredWithinStopLimitOfPlatform() throws IOException {
    ManagedNode node = mesh.startNode("node-a", "8s", "stop: {drainTimeout: 500ms}\n");
    mesh.startNode("node-b", "8s");
    try (KeptConnection connection = new KeptConnection(node)) {
      connection.send("GET", "/lookup/1", Duration.ZERO);
      assertEquals(connection.readStatus(), 200);
      CompletableFuture<Integer> exitCode =
          CompletableFuture.supplyAsync(node.process()::terminate);
      Polling.pause(2_000);
      connection.send("GET", "/lookup/2", Duration.ofSeconds(3));
      assertEquals(connection.readStatus(), 200, node.process().log());
      assertEquals(exitCode.join(), Integer.valueOf(0), node.process().log());
    }
  }

  /**
   * Guards against a stopping node that takes requests which it cannot finish before it closes the
   * connections: the requests ran, and their callers got no answer.
   */
  @Test
  public void lateRequestIsAnsweredOrNotTaken() throws IOException {
    ManagedNode node = mesh.startNode("node-a", "6s");
    mesh.startNode("node-b", "6s");
    List<KeptConnection> connections = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      KeptConnection connection = new KeptConnection(node);
      connection.send("GET", "/lookup/1", Duration.ZERO);
      assertEquals(connection.readStatus(), 200);
      connections.add(connection);
    }
    long stopNanos = System.nanoTime();
    CompletableFuture<Integer> exitCode = CompletableFuture.supplyAsync(node.process()::terminate);
    List<CompletableFuture<String>> outcomes = new ArrayList<>();
    for (int i = 0; i < connections.size(); i++) {
      KeptConnection connection = connections.get(i);
      String method = i % 2 == 0 ? "GET" : "POST";
      String path = i % 2 == 0 ? "/lookup/2" : "/book/2";
      Duration sendAfter = Duration.ofMillis(3_020 + 40 * i);
      outcomes.add(
          CompletableFuture.supplyAsync(
              () -> {
                pauseUntil(stopNanos + sendAfter.toNanos());
                return connection.outcome(method, path, Duration.ofMillis(2_450));
              },
              task -> new Thread(task, "caller").start()));
    }
    for (CompletableFuture<String> outcome : outcomes) {
      assertNotEquals(outcome.join(), KeptConnection.CUT, node.process().log());
    }
    assertEquals(exitCode.join(), Integer.valueOf(0), node.process().log());
  }

  private static void pauseUntil(long nanos) {
    Polling.pause(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime())));
  }

  /** A connection of a caller that is used for several requests. */
  private static final class KeptConnection implements AutoCloseable {
    static final String CUT = "taken, but never answered";

    private final Socket socket;
    private final BufferedReader in;

    KeptConnection(ManagedNode node) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), node.callerPort());
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    void send(String method, String path, Duration work) throws IOException {
      String request =
          "%s %s HTTP/1.1\r\nHost: %s\r\nX-Work-Millis: %d\r\nContent-Length: 0\r\n\r\n"
              .formatted(method, path, ManagedMesh.HOST, work.toMillis());
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request and returns whether it was answered, not read by the node, or cut. */
    String outcome(String method, String path, Duration work) {
      long sentNanos = System.nanoTime();
      try {
        send(method, path, work);
        return "status " + readStatus();
      } catch (IOException e) {
        long waitedNanos = System.nanoTime() - sentNanos;
        return waitedNanos > CROSSING.toNanos() ? CUT : "not read";
      }
    }

    /** Reads a response and returns its status; fails if the connection ends before. */
    int readStatus() throws IOException {
      String statusLine = readLine();
      int length = 0;
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
        }
      }
      for (int i = 0; i < length; i++) {
        in.read();
      }
      return Integer.parseInt(statusLine.split(" ", 3)[1]);
    }

    private String readLine() throws IOException {
      String line = in.readLine();
      if (line == null) {
        throw new IOException("the connection ended before the response");
      }
      return line;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
