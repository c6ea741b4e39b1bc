package io.foxtaildoor.process.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Counts and reports breaches of invariants; safe for use by several threads. */
public final class Invariants {
  private final Map<Invariant, LongAdder> breaches = new EnumMap<>(Invariant.class);
  private final BiConsumer<Invariant, String> reporter;

  /** Creates checks that report each breach with what is needed to replay it. */
  public Invariants(BiConsumer<Invariant, String> reporter) {
    this.reporter = reporter;
    for (Invariant invariant : Invariant.values()) {
      breaches.put(invariant, new LongAdder());
    }
  }

  /** Reports a breach when a condition does not hold; the detail is built only then. */
  public void check(Invariant invariant, boolean holds, Supplier<String> detail) {
    if (!holds) {
      breaches.get(invariant).increment();
      reporter.accept(invariant, detail.get());
    }
  }

  /** Number of breaches of one invariant since the start of the process. */
  public long breaches(Invariant invariant) {
    return breaches.get(invariant).sum();
  }

  /** Number of breaches of all invariants since the start of the process. */
  public long totalBreaches() {
    long total = 0;
    for (Invariant invariant : Invariant.values()) {
      total += breaches(invariant);
    }
    return total;
  }
}
