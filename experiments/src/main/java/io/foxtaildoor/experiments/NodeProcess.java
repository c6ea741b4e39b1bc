package io.foxtaildoor.experiments;

import java.util.Map;
import java.util.stream.Collectors;

/** A node in a process of its own, and the ports on which it listens. */
final class NodeProcess {
  private final String name;
  private final ChildProcess process;
  private final long startedNanos = System.nanoTime();
  private Map<String, Integer> ports = Map.of();
  private double listeningMillis;

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
    listeningMillis = (System.nanoTime() - startedNanos) / 1e6;
  }

  /**
   * Returns whether the ports are known. Those of a restarted node are read from its new port file.
   */
  boolean isListening() {
    return !ports.isEmpty();
  }

  /** Returns the time from the start of the process to its port file, accurate to about 5 ms. */
  double listeningMillis() {
    return listeningMillis;
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
