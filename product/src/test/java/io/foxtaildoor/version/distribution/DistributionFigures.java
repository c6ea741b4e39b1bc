package io.foxtaildoor.version.distribution;

import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.protocol.ConfigurationPull;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.foxtaildoor.version.manifest.HeldConfiguration;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Arrays;
import java.util.List;

/** Measures the distribution from the command line; prints one figure a line. */
public final class DistributionFigures {
  private static final int RUNS = 200;

  private DistributionFigures() {}

  /** Prints all figures. */
  public static void main(String[] args) {
    for (int teams : List.of(10, 100, 810)) {
      bytesForAChange(teams);
    }
    timeToApply(810);
    timeForTheDigest(810);
    for (int nodes : List.of(100, 1_000, 12_000)) {
      spread(nodes);
    }
  }

  private static void bytesForAChange(int teams) {
    SimulatedFleet fleet = new SimulatedFleet(2, 1);
    Versions versions = new Versions(teams).change(0);
    SimulatedFleet.Node source = fleet.nodes.get(0);
    source.publish(versions);
    long whole = pullBytes(source, HeldConfiguration.EMPTY);
    HeldConfiguration former = source.held();
    source.publish(versions.change(teams / 2));
    System.out.printf(
        "%d teams: change %d bytes, whole configuration %d bytes%n",
        teams, pullBytes(source, former), whole);
  }

  private static long pullBytes(SimulatedFleet.Node source, HeldConfiguration receiver) {
    var pull = ConfigurationPull.newBuilder().setHeld(receiver.stamp().toMessage());
    Frame request = Frame.newBuilder().setConfigurationPull(pull).build();
    Frame answer = source.distributor.handle(request);
    return request.getSerializedSize() + (long) answer.getSerializedSize();
  }

  private static void timeToApply(int teams) {
    Versions versions = new Versions(teams);
    long[] nanos = new long[RUNS];
    ConfigurationHolder holder = new ConfigurationHolder(new Invariants((invariant, detail) -> {}));
    for (int i = 0; i < 2 * RUNS; i++) {
      versions.change(i % teams);
      var parts = versions.parts();
      long start = System.nanoTime();
      holder.offer(versions.manifest().stamp(), versions.manifest(), parts);
      nanos[i % RUNS] = System.nanoTime() - start;
    }
    print("apply a version of " + teams + " services", nanos);
  }

  private static void timeForTheDigest(int teams) {
    Manifest manifest = new Versions(teams).change(0).manifest();
    long[] nanos = new long[RUNS];
    for (int i = 0; i < 2 * RUNS; i++) {
      long start = System.nanoTime();
      Manifest.of(i + 1, manifest.entries());
      nanos[i % RUNS] = System.nanoTime() - start;
    }
    print("manifest with digest of " + teams + " teams", nanos);
  }

  private static void print(String what, long[] nanos) {
    Arrays.sort(nanos);
    System.out.printf(
        "%s: median %.2f ms, 99th percentile %.2f ms, most %.2f ms (%d runs after %d)%n",
        what,
        nanos[RUNS / 2] / 1e6,
        nanos[RUNS * 99 / 100] / 1e6,
        nanos[RUNS - 1] / 1e6,
        RUNS,
        RUNS);
  }

  private static void spread(int size) {
    SimulatedFleet fleet = new SimulatedFleet(size, 1);
    Versions versions = new Versions(4).change(0);
    fleet.nodes.get(0).publish(versions);
    fleet.timeToConverge(versions.manifest().stamp(), 60 * SimulatedFleet.SECOND);
    fleet.time.advance(2 * SimulatedFleet.SECOND);
    fleet.nodes.forEach(node -> node.bytes = 0);
    fleet.nodes.get(1).publish(versions.change(1));
    long taken = fleet.timeToConverge(versions.manifest().stamp(), 60 * SimulatedFleet.SECOND);
    fleet.time.advance(2 * SimulatedFleet.SECOND);
    int[] rounds = fleet.nodes.stream().mapToInt(node -> node.rounds).sorted().toArray();
    System.out.printf(
        "%d nodes, 1 ms one way, no loss: %.2f s simulated, rounds median %d, 99%% %d, most %d,"
            + " bytes for a node mean %.0f, most %d%n",
        size,
        taken / 1e9,
        rounds[size / 2],
        rounds[size * 99 / 100],
        rounds[size - 1],
        fleet.nodes.stream().mapToLong(node -> node.bytes).average().orElseThrow(),
        fleet.nodes.stream().mapToLong(node -> node.bytes).max().orElseThrow());
  }
}
