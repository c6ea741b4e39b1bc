package io.foxtaildoor.process.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Checks invariants, and counts and reports their breaches. Thread-safe. */
public final class Invariants {
  private final Map<Invariant, LongAdder> breaches = new EnumMap<>(Invariant.class);
  private final BiConsumer<Invariant, String> reporter;

  /**
   * Creates the checks.
   *
   * @param reporter receives each breach with the details that are needed to reproduce it
   */
  public Invariants(BiConsumer<Invariant, String> reporter) {
    this.reporter = reporter;
    for (Invariant invariant : Invariant.values()) {
      breaches.put(invariant, new LongAdder());
    }
  }

  /**
   * Counts and reports a breach when a condition is false; the detail is created only in that case.
   */
  public void check(Invariant invariant, boolean holds, Supplier<String> detail) {
    if (!holds) {
      breaches.get(invariant).increment();
      reporter.accept(invariant, detail.get());
    }
  }

  /** Returns the number of breaches of one invariant since the start of the process. */
  public long breaches(Invariant invariant) {
    return breaches.get(invariant).sum();
  }

  /** Returns the number of breaches of all invariants since the start of the process. */
  public long totalBreaches() {
    long total = 0;
    for (Invariant invariant : Invariant.values()) {
      total += breaches(invariant);
    }
    return total;
  }
}
