package io.foxtaildoor.experiments;

import java.util.Map;
import java.util.stream.Collectors;

/** A node as a process of its own, with the ports that it chose. */
final class NodeProcess {
  private final String name;
  private final ChildProcess process;
  private Map<String, Integer> ports = Map.of();

  NodeProcess(String name, ChildProcess process) {
    this.name = name;
    this.process = process;
  }

  String name() {
    return name;
  }

  ChildProcess process() {
    return process;
  }

  void awaitPorts() {
    ports =
        process.awaitPorts().stream()
            .map(line -> line.split("=", 2))
            .collect(Collectors.toMap(pair -> pair[0], pair -> Integer.valueOf(pair[1])));
  }

  /** Whether the ports are known; a restarted node has none until its port file is read. */
  boolean isListening() {
    return !ports.isEmpty();
  }

  int caller() {
    return ports.get("caller");
  }

  int peer() {
    return ports.get("peer");
  }

  int operator() {
    return ports.get("operator");
  }
}
