package io.foxtaildoor.experiments;

import java.util.Map;
import java.util.stream.Collectors;

/** A node as a process of its own, with the ports that it chose. */
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

  /** Whether the ports are known; a restarted node has none until its port file is read. */
  boolean isListening() {
    return !ports.isEmpty();
  }

  /** Time from the start of the process to its port file, to about 5 ms. */
  double listeningMillis() {
    return listeningMillis;
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
