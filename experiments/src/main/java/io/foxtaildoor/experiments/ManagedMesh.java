package io.foxtaildoor.experiments;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Nodes of one build as processes on loopback, started as {@code deploy/system.toml} of that build
 * says, with stand-ins for the managed platform's store and for the upstream instances.
 */
final class ManagedMesh implements AutoCloseable {
  private static final int PORTS_PER_NODE = 5;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(15);
  private static final String RUN_PREFIX = "run = \"";
  static final String SETTINGS =
      """
      node: {cluster: mesh, name: %1$s, region: region, dataCentre: zone, address: 127.0.0.1}
      listeners:
        callerEndpoint: "127.0.0.1:%2$d"
        readinessEndpoint: "127.0.0.1:%3$d"
        reportsEndpoint: "127.0.0.1:%4$d"
        peerPort: %5$d
        operatorPort: %6$d
      upstream: {endpoint: "127.0.0.1:%7$d", service: %8$s}
      platform:
        interface: managed
        endpoints: ["127.0.0.1:%9$d"]
        bounds: [grace=1s, retry_ratio=0.2, budget_extra=50, budget_window=10s]
      membership: {probeInterval: 400ms, suspicionTimeout: 1600ms}
      """;

  private final Options options;
  private final Path checkout;
  private final List<String> extraFlags;
  private final Path directory;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final int storePort;

  /** A node process and the port on which it listens for callers. */
  record ManagedNode(long pid, int callerPort) {}

  /**
   * Starts the store.
   *
   * @param checkout directory of the build to measure
   * @param extraFlags JVM flags of the nodes beside those of the deploy file
   */
  ManagedMesh(Options options, Path checkout, List<String> extraFlags) throws IOException {
    this.options = options;
    this.checkout = checkout;
    this.extraFlags = extraFlags;
    this.directory = Files.createTempDirectory("foxtaildoor-managed");
    String configuration = Path.of("deploy/rehearsal.json").toAbsolutePath().toString();
    storePort = startStandIn("store", "ManagedStore", "--configuration", configuration);
  }

  private int startStandIn(String name, String className, String... arguments) throws IOException {
    Path portFile = directory.resolve(name + ".port");
    List<String> command = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-Xmx128m", "-cp"));
    command.add(options.standins + ":" + options.productJar);
    command.add("io.foxtaildoor.standins.managed." + className);
    command.addAll(List.of("--port", "0", "--port-file", portFile.toString()));
    command.addAll(List.of(arguments));
    ChildProcess process =
        ChildProcess.start(command, Map.of(), directory.resolve(name + ".log"), portFile);
    processes.add(process);
    return Integer.parseInt(process.awaitPorts().get(0));
  }

  /** Starts an upstream instance of a service and its node, and waits until the node listens. */
  ManagedNode startNode(String service) throws IOException {
    List<Integer> ports = freePorts();
    String reports = "127.0.0.1:" + ports.get(2);
    int instance =
        startStandIn(service, "ManagedInstance", "--service", service, "--reports", reports);
    Path settings = directory.resolve(service + ".yaml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            "node-" + service,
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            ports.get(4),
            instance,
            service,
            storePort));
    Path portFile = directory.resolve(service + ".ports");
    ChildProcess process =
        ChildProcess.start(
            nodeCommand(checkout, extraFlags, settings, portFile),
            Map.of(),
            directory.resolve(service + "-node.log"),
            portFile,
            checkout);
    processes.add(process);
    process.awaitPorts();
    return new ManagedNode(process.pid(), ports.get(0));
  }

  /** Returns the command of the deploy file of a build that starts a node. */
  static List<String> nodeCommand(
      Path checkout, List<String> extraFlags, Path settings, Path portFile) throws IOException {
    String run =
        Files.readAllLines(checkout.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith(RUN_PREFIX))
            .findFirst()
            .orElseThrow(() -> new IOException("deploy/system.toml has no run command"));
    List<String> words =
        List.of(run.substring(RUN_PREFIX.length(), run.lastIndexOf('"')).split(" "));
    List<String> command = new ArrayList<>(words.subList(0, words.size() - 1));
    command.addAll(1, extraFlags);
    command.addAll(List.of(settings.toString(), "--port-file", portFile.toString()));
    return command;
  }

  /** Finds free ports for the listeners of a node, in the order of the settings. */
  static List<Integer> freePorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int i = 0; i < PORTS_PER_NODE; i++) {
        sockets.add(new ServerSocket(0));
        ports.add(sockets.get(i).getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  /** Stops all processes and deletes their files. Processes that do not stop in time are killed. */
  @Override
  public void close() throws IOException {
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).terminate();
    }
    for (ChildProcess process : processes) {
      if (!process.awaitEnd(STOP_TIMEOUT)) {
        process.kill();
      }
    }
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(directory);
  }
}
