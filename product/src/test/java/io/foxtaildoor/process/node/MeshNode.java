package io.foxtaildoor.process.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.foxtaildoor.common.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A node process with the upstream stand-in on its host. A restarted node keeps its ports, as on a
 * real host.
 */
final class MeshNode {
  private static final Duration VERSION_CALL_TIMEOUT = Duration.ofSeconds(2);

  private final Path directory;
  private final String name;
  private final String service;
  private final Path settings;
  private final String settingsText;
  private final Map<String, Integer> ports = new HashMap<>();
  private TestProcess process;
  private TestProcess upstream;
  private int upstreamPort;
  private long lastSeenVersion;

  MeshNode(Path directory, String name, String service, String settingsText) {
    this.directory = directory;
    this.name = name;
    this.service = service;
    this.settingsText = settingsText;
    this.settings = directory.resolve(name + ".yaml");
  }

  /**
   * Starts the node and waits until it listens. The first start chooses free ports, and later
   * starts reuse them.
   */
  void start() {
    Path portFile = directory.resolve(name + ".ports");
    try {
      Files.deleteIfExists(portFile);
      Files.writeString(
          settings,
          settingsText.formatted(
              ports.getOrDefault("caller", 0),
              ports.getOrDefault("peer", 0),
              ports.getOrDefault("operator", 0)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String binary = System.getProperty("foxtaildoor.binary");
    List<String> command =
        List.of(binary, "node", "--settings", settings.toString(), "--port-file", "" + portFile);
    process = TestProcess.start(directory, name, command);
    for (String line : process.awaitFile(portFile)) {
      int equals = line.indexOf('=');
      ports.put(line.substring(0, equals), Integer.valueOf(line.substring(equals + 1)));
    }
    lastSeenVersion = 0;
  }

  /** Starts the upstream stand-in, which announces itself to the node. */
  void startUpstream() {
    Path portFile = directory.resolve(name + "-upstream.port");
    try {
      Files.deleteIfExists(portFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    upstream =
        Mesh.startStandIn(
            directory,
            name + "-upstream",
            "upstream.UpstreamStandIn",
            List.of(
                "--port",
                "" + upstreamPort,
                "--port-file",
                "" + portFile,
                "--service",
                service,
                "--service-time",
                "10",
                "--cold-start",
                "0",
                "--announce",
                "127.0.0.1:" + operatorPort()));
    upstreamPort = Integer.parseInt(upstream.awaitFile(portFile).get(0));
  }

  /** Sets the faults of the upstream stand-in; {@code {}} removes all faults. */
  void upstreamFault(String document) throws IOException {
    LoopbackHttp.sendForJson("POST", upstreamPort, "/standin/control", Map.of(), document);
  }

  /** Returns how many times the upstream stand-in started to execute the request with an id. */
  int executions(String id) throws IOException {
    String path = "/standin/executions?id=" + id;
    return LoopbackHttp.sendForJson("GET", upstreamPort, path, Map.of(), "")
        .body()
        .path("started")
        .asInt();
  }

  /** Returns the totals of the upstream stand-in's execution log. */
  JsonNode executionTotals() throws IOException {
    return LoopbackHttp.sendForJson("GET", upstreamPort, "/standin/executions", Map.of(), "")
        .body();
  }

  /** Asks the node for its version in force, and checks that the version never decreases. */
  long version() throws IOException {
    HttpResponse<String> response =
        LoopbackHttp.send("GET", operatorPort(), "/v1/config", Map.of(), "", VERSION_CALL_TIMEOUT);
    long version =
        Json.tree(response.body().getBytes(StandardCharsets.UTF_8)).path("version").asLong();
    if (version < lastSeenVersion) {
      throw new AssertionError(
          name + " returned from version " + lastSeenVersion + " to " + version);
    }
    lastSeenVersion = version;
    return version;
  }

  String name() {
    return name;
  }

  Path settings() {
    return settings;
  }

  TestProcess process() {
    return process;
  }

  TestProcess upstream() {
    return upstream;
  }

  int callerPort() {
    return ports.get("caller");
  }

  int peerPort() {
    return ports.get("peer");
  }

  int operatorPort() {
    return ports.get("operator");
  }
}
