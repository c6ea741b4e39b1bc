package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.request.admission.AdmissionSimulation.Policy;
import io.foxtaildoor.request.admission.AdmissionSimulation.Report;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** Prints how the admission by rank compares with a single first-in, first-out queue. */
public final class AdmissionComparison {
  private static final Duration SIMULATED_TIME = Duration.ofMinutes(2);
  private static final long SEED = 1;
  private static final double[] FLOOD_LOADS = {0.8, 1.5, 3, 10};

  private AdmissionComparison() {}

  /** Load of each rank without a flood, as a fraction of the capacity; below capacity in total. */
  static Map<Rank, Double> normalLoad() {
    return new EnumMap<>(Map.of(Rank.URGENT, 0.3, Rank.HIGH, 0.1, Rank.NORMAL, 0.1, Rank.LOW, 0.1));
  }

  /** The normal load, except that one rank offers the given multiple of the capacity. */
  static Map<Rank, Double> withFlood(Rank rank, double floodLoad) {
    Map<Rank, Double> load = normalLoad();
    load.put(rank, floodLoad);
    return load;
  }

  /** Runs the comparison; takes no arguments. */
  public static void main(String[] args) {
    System.out.printf("%-14s %-6s", "load", "policy");
    for (Rank rank : Rank.values()) {
      System.out.printf(" %16s", rank + " in time/p99");
    }
    System.out.printf(" %7s %8s%n", "useful", "expired");
    print("calm", normalLoad());
    for (double floodLoad : FLOOD_LOADS) {
      print("LOW x" + floodLoad, withFlood(Rank.LOW, floodLoad));
    }
    for (double floodLoad : FLOOD_LOADS) {
      print("URGENT x" + floodLoad, withFlood(Rank.URGENT, floodLoad));
    }
  }

  private static void print(String name, Map<Rank, Double> load) {
    print(name, "fifo", AdmissionSimulation.fifo(), load);
    print(name, "ranks", AdmissionSimulation.ranked(AdmissionSimulation.RESERVED), load);
  }

  private static void print(String name, String label, Policy policy, Map<Rank, Double> load) {
    Report report = AdmissionSimulation.run(policy, load, SIMULATED_TIME, SEED);
    System.out.printf("%-14s %-6s", name, label);
    for (Rank rank : Rank.values()) {
      System.out.printf(
          " %7.2f%%/%5.0fms", 100 * report.of(rank).share(), report.of(rank).p99Millis());
    }
    System.out.printf(" %6.1f%% %8d%n", 100 * report.usefulWork(), report.startedExpired());
  }
}
