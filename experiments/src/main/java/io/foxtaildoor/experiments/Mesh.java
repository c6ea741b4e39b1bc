package io.foxtaildoor.experiments;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A mesh of processes on loopback: the platform stand-in, nodes and upstream stand-ins. */
final class Mesh implements AutoCloseable {
  /** Maximum number of nodes that start at the same time, so that the host is not overloaded. */
  private static final int MAX_CONCURRENT_STARTS = 10;

  /** Number of nodes through which the others join; a real fleet has a few in each data centre. */
  private static final int CONTACT_COUNT = 3;

  private static final int DATA_CENTRE_COUNT = 3;
  private static final long MEMORY_LIMIT_KILOBYTES = 15L * 1024 * 1024;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(45);
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(60);
  private static final String CREDENTIALS = "amina:experiment-token";

  private final Options options;
  private final Map<String, String> environment;
  private final String extraSettings;
  private final Path directory;
  private final Http http = new Http();
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final int platformPort;
  private final int platformControlPort;
  private long revision;

  /**
   * Starts the platform stand-in.
   *
   * @param environment additional environment variables of the nodes
   * @param extraSettings YAML lines added to the settings of each node
   */
  Mesh(Options options, Map<String, String> environment, String extraSettings) throws IOException {
    this.options = options;
    this.environment = environment;
    this.extraSettings = extraSettings;
    this.directory = Files.createTempDirectory("foxtaildoor-experiment");
    List<String> ports;
    try {
      ports =
          startStandIn("platform", "platform.PlatformStandIn", "--control-port", "0").awaitPorts();
    } catch (IOException | IllegalStateException e) {
      close();
      throw e;
    }
    platformPort = Integer.parseInt(ports.get(0));
    platformControlPort = Integer.parseInt(ports.get(1));
  }

  private ChildProcess startStandIn(String name, String className, String... arguments)
      throws IOException {
    Path portFile = directory.resolve(name + ".port");
    List<String> command = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-Xmx128m", "-cp"));
    command.add(options.standins + ":" + options.productJar);
    command.add("io.foxtaildoor.standins." + className);
    command.addAll(List.of("--port", "0", "--port-file", portFile.toString()));
    command.addAll(List.of(arguments));
    return track(ChildProcess.start(command, Map.of(), directory.resolve(name + ".log"), portFile));
  }

  private ChildProcess track(ChildProcess process) {
    processes.add(process);
    return process;
  }

  /**
   * Starts nodes in batches until there are this many, and waits until they have joined.
   *
   * @throws IllegalStateException when the processes use more than 15 GiB or a node does not join
   */
  void startNodes(int count) throws IOException {
    while (nodes.size() < count) {
      int batchSize =
          nodes.size() < CONTACT_COUNT ? 1 : Math.min(MAX_CONCURRENT_STARTS, count - nodes.size());
      List<NodeProcess> started = new ArrayList<>();
      for (int i = 0; i < batchSize; i++) {
        started.add(startNode(nodes.size() + i));
      }
      started.forEach(NodeProcess::awaitPorts);
      nodes.addAll(started);
      if (residentKilobytes() > MEMORY_LIMIT_KILOBYTES) {
        throw new IllegalStateException("the processes use more than 15 GiB");
      }
    }
    awaitNodes(count);
  }

  private NodeProcess startNode(int index) throws IOException {
    String name = "node-" + index;
    String contacts =
        nodes.stream()
            .limit(CONTACT_COUNT)
            .filter(contact -> contact.isListening() && !contact.name().equals(name))
            .map(contact -> "'127.0.0.1:" + contact.peerPort() + "'")
            .collect(Collectors.joining(", "));
    String settings =
        "node: {cluster: pamoja, region: ke-central, dataCentre: ke-central-%s,"
                .formatted((char) ('a' + index % DATA_CENTRE_COUNT))
            + " address: 127.0.0.1}\n"
            + "listeners: {callerPort: 0, peerPort: 0, operatorPort: 0}\n"
            + "contacts: ["
            + contacts
            + "]\n"
            + "platform: {endpoints: ['127.0.0.1:"
            + platformPort
            + "']}\n"
            + extraSettings;
    Path file = directory.resolve(name + ".yaml");
    Files.writeString(file, settings);
    Path portFile = directory.resolve(name + ".ports");
    List<String> command =
        List.of(
            options.binary.toString(),
            "node",
            "--settings",
            file.toString(),
            "--port-file",
            portFile.toString());
    return new NodeProcess(
        name,
        track(
            ChildProcess.start(command, environment, directory.resolve(name + ".log"), portFile)));
  }

  /** Waits until the first and the last node report this many nodes that answered. */
  void awaitNodes(int count) {
    for (NodeProcess node : List.of(nodes.get(0), nodes.get(nodes.size() - 1))) {
      Pause.until(
          "join of " + count + " nodes",
          JOIN_TIMEOUT,
          () -> {
            int answered = 0;
            for (JsonNode member :
                http.getJson(node.operatorPort(), "/v1/config/status").path("nodes")) {
              answered += member.path("answered").asBoolean() ? 1 : 0;
            }
            return answered >= count;
          });
    }
  }

  /** Kills nodes with SIGKILL and starts them again, with new ports and without their state. */
  void restart(List<Integer> indexes) throws IOException {
    for (int index : indexes) {
      nodes.get(index).process().kill();
    }
    for (int index : indexes) {
      nodes.set(index, startNode(index));
    }
    indexes.forEach(index -> nodes.get(index).awaitPorts());
  }

  /** Starts an upstream stand-in for each of these nodes and returns their ports. */
  List<Integer> startUpstreams(int slots, List<NodeProcess> hosts) throws IOException {
    List<ChildProcess> started = new ArrayList<>();
    for (NodeProcess node : hosts) {
      started.add(
          startStandIn(
              node.name() + "-upstream",
              "upstream.UpstreamStandIn",
              "--service",
              "bookings",
              "--slots",
              Integer.toString(slots),
              "--service-time",
              Integer.toString(options.serviceTimeMillis),
              "--seed",
              Long.toString(options.seed + started.size()),
              "--announce",
              "127.0.0.1:" + node.operatorPort()));
    }
    List<Integer> ports = new ArrayList<>();
    for (ChildProcess upstream : started) {
      ports.add(Integer.valueOf(upstream.awaitPorts().get(0)));
    }
    return ports;
  }

  /** Creates the operator in whose name the experiment approves changes. */
  void createOperator() throws IOException {
    Path token = directory.resolve("token");
    Files.writeString(token, CREDENTIALS.substring(CREDENTIALS.indexOf(':') + 1));
    List<String> command =
        List.of(
            options.binary.toString(),
            "operator",
            "create",
            "--settings",
            directory.resolve("node-0.yaml").toString(),
            "--member",
            "pamoja",
            "--name",
            "amina",
            "--token-file",
            token.toString());
    ChildProcess createProcess =
        track(
            ChildProcess.start(
                command,
                environment,
                directory.resolve("operator.log"),
                directory.resolve("operator.none")));
    if (!createProcess.awaitEnd(JOIN_TIMEOUT)) {
      throw new IllegalStateException("the operator was not created in time");
    }
  }

  /** A submitted change that is not yet approved. */
  record Proposal(String team, String proposalDigest, String baseDigest) {}

  /** Submits the questionnaire of the bookings team to the first node, or amends it there. */
  Proposal submit(String document) {
    Map<String, String> headers =
        revision == 0
            ? authorization()
            : Map.of("Authorization", "Bearer " + CREDENTIALS, "If-Match", Long.toString(revision));
    JsonNode answer =
        http.sendJson(
            "POST",
            nodes.get(0).operatorPort(),
            "/v1/questionnaires/bookings-team",
            headers,
            document);
    revision = answer.path("revision").asLong();
    return new Proposal(
        "bookings-team",
        answer.path("proposalDigest").asText(),
        answer.path("baseDigest").asText(null));
  }

  /** Approves a proposal at the first node and returns the new configuration version. */
  long approve(Proposal proposal) throws IOException {
    Map<String, String> body = new LinkedHashMap<>();
    body.put("proposalDigest", proposal.proposalDigest());
    if (proposal.baseDigest() != null && !proposal.baseDigest().equals("null")) {
      body.put("baseDigest", proposal.baseDigest());
    }
    return http.sendJson(
            "POST",
            nodes.get(0).operatorPort(),
            "/v1/config/" + proposal.team() + "/approve",
            authorization(),
            new ObjectMapper().writeValueAsString(body))
        .path("version")
        .asLong();
  }

  /** Submits and approves a questionnaire and waits until every node reports the new version. */
  void submitAndApprove(String document) throws IOException {
    long version = approve(submit(document));
    List<Integer> ports = nodes.stream().map(NodeProcess::operatorPort).toList();
    VersionPoll.await(http, ports, version, System.nanoTime());
  }

  private static Map<String, String> authorization() {
    return Map.of("Authorization", "Bearer " + CREDENTIALS);
  }

  /** Writes a key that is absent on the platform. */
  void putPlatformValue(String key, byte[] value) {
    String body = "{\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\"}";
    http.sendJson("PUT", platformPort, "/kv/" + key + "?expected=0", Map.of(), body);
  }

  /** Sends a control document to the platform stand-in and returns its report. */
  JsonNode controlPlatform(String document) {
    return http.sendJson("POST", platformControlPort, "/control", Map.of(), document);
  }

  List<NodeProcess> nodes() {
    return nodes;
  }

  Http http() {
    return http;
  }

  /** Returns the total resident memory of all processes in kilobytes. */
  long residentKilobytes() {
    return processes.stream().mapToLong(ChildProcess::residentKilobytes).sum();
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
