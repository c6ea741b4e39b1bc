package io.foxtaildoor.process.node;

import io.foxtaildoor.platform.WireTexts;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.UnaryOperator;

/**
 * Runs a stand-in for the store of a managed platform, and nodes with one upstream instance
 * stand-in each, as processes on the loopback address. The configuration is the file that is also
 * used to create the archive of preloaded classes.
 */
final class ManagedMesh implements AutoCloseable {
  static final String HOST = "bookings.example";

  private static final String SETTINGS =
      """
      node: {cluster: mesh, name: %1$s, region: region, dataCentre: zone, address: 127.0.0.1}
      listeners:
        callerEndpoint: "127.0.0.1:%2$d"
        readinessEndpoint: "127.0.0.1:%3$d"
        reportsEndpoint: "127.0.0.1:%4$d"
        peerPort: %5$d
        operatorPort: %6$d
      upstream: {endpoint: "127.0.0.1:%7$d", service: bookings}
      platform:
        interface: managed
        endpoints: ["127.0.0.1:%8$d"]
        bounds: %9$s
      membership: {probeInterval: 400ms, suspicionTimeout: 1600ms}
      """;

  /** Number of ports that a node listens on. */
  private static final int PORTS_PER_NODE = 5;

  /**
   * Ports of nodes lie below the range from which the kernel takes those of outgoing connections,
   * which could otherwise occupy a port between its choice and the start of the node.
   */
  private static final int FIRST_PORT = 20_000;

  private static final int LAST_PORT = 32_000;

  private final Path directory;
  private final List<TestProcess> processes = new ArrayList<>();
  private final int storePort;

  /**
   * A node process, its settings file, two of the ports that it listens on, and the port of its
   * upstream instance.
   */
  record ManagedNode(
      TestProcess process, Path settings, int callerPort, int readinessPort, int instancePort) {}

  private ManagedMesh(Path directory, Path configuration) {
    this.directory = directory;
    storePort =
        startStandIn("store", "ManagedStore", List.of("--configuration", configuration.toString()));
  }

  static ManagedMesh start() throws IOException {
    return start(UnaryOperator.identity());
  }

  /** Starts a mesh whose configuration is changed before the store holds it. */
  static ManagedMesh start(UnaryOperator<String> change) throws IOException {
    Path directory = Files.createTempDirectory("foxtaildoor-managed");
    Path configuration = directory.resolve("configuration.json");
    String original = Files.readString(Path.of(System.getProperty("foxtaildoor.rehearsal")));
    Files.writeString(configuration, change.apply(original));
    return new ManagedMesh(directory, configuration);
  }

  /** Starts a stand-in and returns its port. */
  private int startStandIn(String name, String className, List<String> options) {
    Path portFile = directory.resolve(name + ".port");
    List<String> arguments = new ArrayList<>(options);
    arguments.addAll(List.of("--port", "0", "--port-file", portFile.toString()));
    TestProcess process = Mesh.startStandIn(directory, name, "managed." + className, arguments);
    processes.add(process);
    return Integer.parseInt(process.awaitFile(portFile).get(0));
  }

  /** Starts an upstream instance and its node, and waits until the node serves requests. */
  ManagedNode startNode(String name, String stopLimit) throws IOException {
    return startNode(name, stopLimit, "");
  }

  /**
   * Starts an upstream instance and its node, and waits until the node serves requests.
   *
   * @param moreSettings added to the settings of the node
   */
  ManagedNode startNode(String name, String stopLimit, String moreSettings) throws IOException {
    return startNode(name, stopLimit, moreSettings, List.of());
  }

  /**
   * Starts an upstream instance and its node, and waits until the node serves requests.
   *
   * @param moreSettings added to the settings of the node
   * @param instanceOptions added to the options of the instance
   */
  ManagedNode startNode(
      String name, String stopLimit, String moreSettings, List<String> instanceOptions)
      throws IOException {
    List<Integer> ports = freePorts();
    List<String> options =
        new ArrayList<>(List.of("--reports", "127.0.0.1:" + ports.get(2), "--period", "300"));
    options.addAll(instanceOptions);
    int instance = startStandIn(name + "-instance", "ManagedInstance", options);
    Path settings = directory.resolve(name + ".yaml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
                name,
                ports.get(0),
                ports.get(1),
                ports.get(2),
                ports.get(3),
                ports.get(4),
                instance,
                storePort,
                bounds(stopLimit))
            + moreSettings);
    ManagedNode node =
        new ManagedNode(
            startProcess(name, settings), settings, ports.get(0), ports.get(1), instance);
    Polling.await("requests served by " + name, () -> isServed(node));
    return node;
  }

  /**
   * Returns deployment bounds with the given stop limit and the retry budget that the tests use.
   */
  static String bounds(String stopLimit) {
    return WireTexts.bounds(stopLimit, "0.2", 50);
  }

  /**
   * Finds ports that are free at the moment. On this platform the settings must name every port, so
   * the node cannot choose them.
   */
  private static List<Integer> freePorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int i = 0; i < PORTS_PER_NODE; i++) {
        sockets.add(bindFreePort());
        ports.add(sockets.get(i).getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  private static ServerSocket bindFreePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try {
        return new ServerSocket(port);
      } catch (BindException e) {
        // Another process uses the port, so another one is tried.
      }
    }
  }

  /**
   * Starts the process of a node again, with the same upstream instance, and waits until it serves
   * requests.
   */
  ManagedNode restart(String name, ManagedNode previous) throws IOException {
    TestProcess process = startProcess(name, previous.settings());
    ManagedNode node =
        new ManagedNode(
            process,
            previous.settings(),
            previous.callerPort(),
            previous.readinessPort(),
            previous.instancePort());
    Polling.await("requests served by " + name, () -> isServed(node));
    return node;
  }

  /** Kills the store, which stays down. */
  void killStore() {
    processes.get(0).kill();
  }

  private TestProcess startProcess(String name, Path settings) throws IOException {
    Path portFile = directory.resolve(name + ".ports");
    Files.deleteIfExists(portFile);
    TestProcess process =
        TestProcess.start(
            directory,
            name,
            List.of(
                System.getProperty("foxtaildoor.binary"),
                "node",
                "--settings",
                settings.toString(),
                "--port-file",
                portFile.toString()));
    processes.add(process);
    process.awaitFile(portFile);
    return process;
  }

  static boolean isServed(ManagedNode node) {
    try {
      return status(node, "/lookup/1") == 200;
    } catch (IOException e) {
      return false;
    }
  }

  static int status(ManagedNode node, String path) throws IOException {
    return LoopbackHttp.send("GET", node.callerPort(), path, java.util.Map.of("Host", HOST), "")
        .statusCode();
  }

  static int readinessStatus(ManagedNode node) throws IOException {
    return LoopbackHttp.send(
            "GET", node.readinessPort(), WireTexts.READINESS_PATH, java.util.Map.of(), "")
        .statusCode();
  }

  /** Kills all processes that are still running. */
  @Override
  public void close() {
    processes.stream().filter(TestProcess::isAlive).forEach(TestProcess::kill);
  }
}
