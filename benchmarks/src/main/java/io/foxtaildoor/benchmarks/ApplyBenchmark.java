package io.foxtaildoor.benchmarks;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.version.manifest.ApplyResult;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures how long it takes to check and apply a version that changes one of 810 parts, and to
 * compute the digest of its manifest.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ApplyBenchmark {
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private ConfigurationHolder holder;
  private SortedMap<TeamId, Digest> entries;
  private long version = 1;
  private int slots = 9;

  /** Builds and applies the first version of the configuration. */
  @Setup
  public void setUp() {
    holder = new ConfigurationHolder(new Invariants((invariant, detail) -> {}));
    Manifest manifest = Configurations.completeManifest(version, parts);
    entries = new TreeMap<>(manifest.entries());
    holder.offer(manifest.stamp(), manifest, parts);
  }

  /** Changes one part and applies the new version. */
  @Benchmark
  public ApplyResult applyOneChange() {
    slots = slots == 9 ? 10 : 9;
    byte[] part = Configurations.part(0, slots);
    Digest digest = Digest.of(part);
    parts.put(digest, part);
    entries.put(new TeamId("team-0"), digest);
    version++;
    Manifest manifest = Manifest.of(version, entries);
    return holder.offer(manifest.stamp(), manifest, parts);
  }

  /** Builds a manifest, which computes its digest. */
  @Benchmark
  public Manifest digestManifest() {
    return Manifest.of(version, entries);
  }
}
