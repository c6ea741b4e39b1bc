package io.foxtaildoor.experiments;

import io.foxtaildoor.standins.managed.ManagedInstance;
import io.foxtaildoor.standins.managed.ManagedStore;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Node processes of one service on the managed platform. The store and the instances run in this
 * process, so that an experiment can bring the store down and knows which requests reached which
 * instance.
 */
final class OutageMesh implements AutoCloseable {
  private static final String SERVICE = "bookings";
  private static final int CAPACITY = 9;
  private static final long REPORT_PERIOD_MILLIS = 1_500;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  private final Path checkout;
  private final Path directory;
  private final ManagedStore store = ManagedStore.start(anyLoopbackPort());
  private final ScheduledExecutorService reports = Executors.newScheduledThreadPool(8);
  private final List<Node> nodes = new ArrayList<>();

  /** A node process with the instance beside it. */
  static final class Node {
    private final ManagedInstance instance;
    private final String instanceId;
    private final int callerPort;
    private final int readinessPort;
    private final String reportsEndpoint;
    private final List<String> command;
    private final Path portFile;
    private volatile boolean reporting = true;
    private ChildProcess process;

    private Node(
        ManagedInstance instance,
        String instanceId,
        List<Integer> ports,
        List<String> command,
        Path portFile) {
      this.instance = instance;
      this.instanceId = instanceId;
      this.callerPort = ports.get(0);
      this.readinessPort = ports.get(1);
      this.reportsEndpoint = "127.0.0.1:" + ports.get(2);
      this.command = command;
      this.portFile = portFile;
    }

    ManagedInstance instance() {
      return instance;
    }

    String instanceId() {
      return instanceId;
    }

    int callerPort() {
      return callerPort;
    }

    boolean isReady() {
      return Http.statusOnPlainSocket(readinessPort, "GET", "/readyz") == 200;
    }

    /** Sends the leave call of the instance and ends its reports; returns the status. */
    int leave() {
      reporting = false;
      int port = Integer.parseInt(reportsEndpoint.substring(reportsEndpoint.indexOf(':') + 1));
      return Http.statusOnPlainSocket(port, "DELETE", "/instances/" + instanceId);
    }

    /** Sends a report as if it had been delayed since before the instance left. */
    void sendLateReport() {
      report();
    }

    private void report() {
      try {
        instance.report(reportsEndpoint, false);
      } catch (IOException e) {
        // The node is down or slow; the next report follows after the usual period.
      }
    }
  }

  /**
   * Starts the store.
   *
   * @param checkout directory of the build to measure
   */
  OutageMesh(Path checkout) throws IOException {
    this.checkout = checkout;
    this.directory = Files.createTempDirectory("foxtaildoor-outage");
    store.put("op/config", Files.readAllBytes(checkout.resolve("deploy/rehearsal.json")));
  }

  private static InetSocketAddress anyLoopbackPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  ManagedStore store() {
    return store;
  }

  List<Node> nodes() {
    return List.copyOf(nodes);
  }

  /** Starts nodes with one instance each and waits until all nodes are ready. */
  void startNodes(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      Node node = createNode("node-" + i, "i-" + i);
      nodes.add(node);
      startProcess(node);
      var unused =
          reports.scheduleWithFixedDelay(
              () -> {
                if (node.reporting) {
                  node.report();
                }
              },
              0,
              REPORT_PERIOD_MILLIS,
              TimeUnit.MILLISECONDS);
    }
    for (Node node : nodes) {
      Pause.until("readiness of all nodes", START_TIMEOUT, node::isReady);
    }
  }

  private Node createNode(String name, String instanceId) throws IOException {
    ManagedInstance instance =
        ManagedInstance.start(anyLoopbackPort(), instanceId, SERVICE, CAPACITY);
    List<Integer> ports = ManagedMesh.freePorts();
    Path settings = directory.resolve(name + ".yaml");
    Files.writeString(
        settings,
        ManagedMesh.SETTINGS.formatted(
            name,
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            ports.get(4),
            instance.address().getPort(),
            SERVICE,
            store.address().getPort()));
    Path portFile = directory.resolve(name + ".ports");
    return new Node(
        instance,
        instanceId,
        ports,
        ManagedMesh.nodeCommand(checkout, List.of(), settings, portFile),
        portFile);
  }

  private void startProcess(Node node) throws IOException {
    Path log = directory.resolve(node.portFile.getFileName() + ".log");
    node.process = ChildProcess.start(node.command, Map.of(), log, node.portFile, checkout);
  }

  /** Kills the process of a node and starts it again; returns the time of the start. */
  long restart(Node node) throws IOException {
    node.process.kill();
    long startNanos = System.nanoTime();
    startProcess(node);
    return startNanos;
  }

  /** Ends all processes and stand-ins and deletes the files. */
  @Override
  public void close() throws IOException {
    reports.shutdownNow();
    for (Node node : nodes) {
      node.process.kill();
      node.instance.close();
    }
    store.close();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(directory);
  }
}
