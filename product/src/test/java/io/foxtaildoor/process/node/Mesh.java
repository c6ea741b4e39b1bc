package io.foxtaildoor.process.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs a platform stand-in and four nodes, each with an upstream stand-in, as processes on the
 * loopback address.
 */
final class Mesh implements AutoCloseable {
  static final int BOOKINGS_A = 0;
  static final int BOOKINGS_B = 1;
  static final int INVENTORY_A = 2;
  static final int INVENTORY_B = 3;

  private static final String SETTINGS =
      """
      node: {cluster: pamoja, region: ke-central, dataCentre: %s, address: 127.0.0.1}
      listeners: {callerPort: %%d, peerPort: %%d, operatorPort: %%d}
      contacts: [%s]
      platform: {endpoints: ['127.0.0.1:%d'], startDelay: 200ms}
      """;

  private final Path directory;
  private final TestProcess platform;
  private final int platformControlPort;
  private final List<MeshNode> nodes = new ArrayList<>();

  private Mesh(Path directory, TestProcess platform, int controlPort) {
    this.directory = directory;
    this.platform = platform;
    this.platformControlPort = controlPort;
  }

  /**
   * Starts all processes and approves the questionnaires of both teams, which makes version 2 the
   * version in force.
   */
  static Mesh start() throws IOException {
    Path directory = Files.createTempDirectory("foxtaildoor-mesh");
    Path portFile = directory.resolve("platform.port");
    TestProcess platform =
        startStandIn(
            directory,
            "platform",
            "platform.PlatformStandIn",
            List.of("--port", "0", "--control-port", "0", "--port-file", portFile.toString()));
    List<String> ports = platform.awaitFile(portFile);
    Mesh mesh = new Mesh(directory, platform, Integer.parseInt(ports.get(1)));
    try {
      mesh.startNodes(Integer.parseInt(ports.get(0)));
      mesh.approveInitialQuestionnaires();
      return mesh;
    } catch (IOException | RuntimeException | Error e) {
      mesh.close();
      throw e;
    }
  }

  static TestProcess startStandIn(
      Path directory, String name, String className, List<String> options) {
    String classPath =
        System.getProperty("foxtaildoor.standins")
            + File.pathSeparator
            + System.getProperty("foxtaildoor.jar");
    List<String> command = new ArrayList<>();
    command.addAll(List.of(TestProcess.java(), "-XX:+UseSerialGC", "-Xmx64m", "-cp", classPath));
    command.add("io.foxtaildoor.standins." + className);
    command.addAll(options);
    return TestProcess.start(directory, name, command);
  }

  private void startNodes(int platformPort) {
    String contact = "";
    for (int i = 0; i < 4; i++) {
      String dataCentre = i % 2 == 0 ? "ke-central-a" : "ke-central-b";
      String service = i <= BOOKINGS_B ? "bookings" : "inventory";
      String settings = SETTINGS.formatted(dataCentre, contact, platformPort);
      MeshNode node = new MeshNode(directory, "node-" + i, service, settings);
      nodes.add(node);
      node.start();
      node.startUpstream();
      if (i == 0) {
        contact = "'127.0.0.1:" + node.peerPort() + "'";
      }
    }
  }

  private void approveInitialQuestionnaires() throws IOException {
    createOperator("pamoja", "amina", "amina-test-token");
    createOperator("forbund", "bjorn", "bjorn-test-token");
    OperatorCalls operators =
        new OperatorCalls(node(BOOKINGS_A).operatorPort(), "amina:amina-test-token");
    for (String team : List.of("bookings-team", "inventory-team")) {
      LoopbackHttp.JsonReply submitted = operators.submit(team, Questionnaires.of(team, 2000));
      require(submitted.status() == 200, "response to the submission: " + submitted);
      LoopbackHttp.JsonReply approved = operators.approveProposal(team);
      require(approved.status() == 200, "response to the approval: " + approved);
    }
    awaitVersion(2);
    Polling.await(
        "responses from each service through each node",
        () -> nodes.stream().allMatch(RequestLoad::isServed));
  }

  private void createOperator(String member, String name, String token) throws IOException {
    Path file = directory.resolve(name + ".token");
    Files.writeString(file, token);
    String binary = System.getProperty("foxtaildoor.binary");
    TestProcess process =
        TestProcess.start(
            directory,
            "operator-" + name,
            List.of(
                binary,
                "operator",
                "create",
                "--settings",
                node(BOOKINGS_A).settings().toString(),
                "--member",
                member,
                "--name",
                name,
                "--token-file",
                file.toString()));
    Polling.await("operator " + name, () -> !process.isAlive());
    require(process.log().contains("created"), process.log());
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new AssertionError(message);
    }
  }

  MeshNode node(int index) {
    return nodes.get(index);
  }

  List<MeshNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns all nodes except those with the given indexes. */
  List<MeshNode> nodesExcept(Integer... indexes) {
    List<MeshNode> remaining = new ArrayList<>(nodes);
    for (int index : indexes) {
      remaining.remove(nodes.get(index));
    }
    return remaining;
  }

  /** Returns a client of the operator interface of one node, for operator {@code amina}. */
  OperatorCalls operatorCalls(int index) {
    return new OperatorCalls(node(index).operatorPort(), "amina:amina-test-token");
  }

  /** Sets the faults of the platform stand-in. */
  void platformFault(String document) throws IOException {
    LoopbackHttp.sendForJson("POST", platformControlPort, "/control", Map.of(), document);
  }

  /**
   * Waits until every node holds at least the given version, and checks that no node returns to an
   * older one.
   */
  void awaitVersion(long version) {
    Polling.await("version " + version + " in force", () -> allHoldVersion(nodes, version));
  }

  static boolean allHoldVersion(List<MeshNode> expected, long version) {
    return expected.stream().allMatch(node -> versionOf(node) >= version);
  }

  static long versionOf(MeshNode node) {
    try {
      return node.version();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Returns the fleet status as seen by one node. */
  JsonNode status(int index) {
    try {
      return LoopbackHttp.sendForJson(
              "GET", node(index).operatorPort(), "/v1/config/status", Map.of(), "")
          .body();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Waits until every node sees exactly four nodes, all of them with the version in force, and then
   * checks that no invariant was breached and no version was rejected.
   */
  void awaitHealthyFleet() {
    for (int i = 0; i < nodes.size(); i++) {
      int index = i;
      Polling.await(
          "node-" + i + " sees four nodes with the version in force",
          () -> {
            JsonNode status = status(index);
            return status.path("total").asInt() == 4 && status.path("inForce").asInt() == 4;
          });
    }
    for (JsonNode node : status(BOOKINGS_A).path("nodes")) {
      require(node.path("breaches").asLong(-1) == 0, "invariant breach: " + node);
      require(node.path("rejectedVersion").asLong(-1) == 0, "rejected version: " + node);
    }
    for (MeshNode node : nodes) {
      require(
          !node.process().log().contains("does not hold"),
          node.name() + " logged an invariant breach");
    }
  }

  /** Kills all processes. A test that checks exit codes must end the processes itself before. */
  @Override
  public void close() {
    for (MeshNode node : nodes) {
      for (TestProcess process : new TestProcess[] {node.process(), node.upstream()}) {
        if (process != null && process.isAlive()) {
          process.kill();
        }
      }
    }
    platform.kill();
  }
}
