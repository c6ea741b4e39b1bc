package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/**
 * In-memory platform for simulations. Its calls take virtual time and fail as the test specifies.
 */
public final class FaultyPlatform implements PlatformClient {
  /** Fault injected into one call. */
  public enum Fault {
    /** The call succeeds. */
    NONE,
    /** The call has no effect, and its result says so. */
    UNAVAILABLE,
    /** The write has no effect, but its outcome is reported as unknown. */
    REQUEST_LOST,
    /** The write takes effect, but its outcome is reported as unknown. */
    ANSWER_LOST,
    /** The outcome is reported as unknown, and the write takes effect 250 ms later. */
    LATE
  }

  /** Suffix of the key that is passed to the fault chooser for a deletion. */
  public static final String DELETION_SUFFIX = "#removal";

  private static final Duration LATENESS = Duration.ofMillis(250);

  private final VirtualTime time;
  private final Random random;
  private final int maxLatencyMillis;
  private final Map<String, PlatformEntry> entries = new HashMap<>();
  private final List<PlatformEntry> effectiveWrites = new ArrayList<>();
  private BiFunction<String, Boolean, Fault> faults = (key, isWrite) -> Fault.NONE;
  private long nextRevision = 1;

  public FaultyPlatform(VirtualTime time, Random random, int maxLatencyMillis) {
    this.time = time;
    this.random = random;
    this.maxLatencyMillis = maxLatencyMillis;
  }

  /** Sets the function that chooses the fault of a call from its key and whether it is a write. */
  public void setFaults(BiFunction<String, Boolean, Fault> chooser) {
    faults = chooser;
  }

  /** Returns the entry after each write that took effect, in the order of the writes. */
  public List<PlatformEntry> effectiveWrites() {
    return effectiveWrites;
  }

  /** Returns the existing keys that have a prefix. */
  public List<String> keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  public PlatformEntry entry(String key) {
    return entries.getOrDefault(key, new PlatformEntry(key, ABSENT_REVISION, new byte[0]));
  }

  /** Changes a key directly, without a simulated call. */
  public void put(String key, byte[] value) {
    entries.put(key, new PlatformEntry(key, nextRevision++, value));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    Fault fault = faults.apply(key, false);
    return answer(
        () ->
            fault == Fault.NONE
                ? new PlatformResult.Done<>(entry(key))
                : new PlatformResult.Unavailable<>("test"));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    if (value.length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException("value of " + value.length + " bytes");
    }
    return write(key, key, expectedRevision, () -> put(key, value));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    return write(key, key + DELETION_SUFFIX, expectedRevision, () -> entries.remove(key));
  }

  private CompletableFuture<PlatformResult<PlatformEntry>> write(
      String key, String shownKey, long expectedRevision, Runnable change) {
    Fault fault = faults.apply(shownKey, true);
    return answer(
        () ->
            switch (fault) {
              case NONE -> apply(key, expectedRevision, change);
              case UNAVAILABLE -> new PlatformResult.Unavailable<>("test");
              case REQUEST_LOST -> new PlatformResult.OutcomeUnknown<>("test");
              case ANSWER_LOST -> {
                apply(key, expectedRevision, change);
                yield new PlatformResult.OutcomeUnknown<>("test");
              }
              case LATE -> {
                time.schedule(LATENESS, () -> apply(key, expectedRevision, change));
                yield new PlatformResult.OutcomeUnknown<>("test");
              }
            });
  }

  private PlatformResult<PlatformEntry> apply(String key, long expected, Runnable change) {
    PlatformEntry present = entry(key);
    if (present.revision() != expected) {
      return new PlatformResult.Conflict<>(present);
    }
    change.run();
    effectiveWrites.add(entry(key));
    return new PlatformResult.Done<>(entry(key));
  }

  /** Applies the effect after one random latency and completes the result after another. */
  private CompletableFuture<PlatformResult<PlatformEntry>> answer(
      Supplier<PlatformResult<PlatformEntry>> effect) {
    CompletableFuture<PlatformResult<PlatformEntry>> future = new CompletableFuture<>();
    time.schedule(
        latency(),
        () -> {
          PlatformResult<PlatformEntry> result = effect.get();
          time.schedule(latency(), () -> future.complete(result));
        });
    return future;
  }

  private Duration latency() {
    return Duration.ofMillis(random.nextInt(maxLatencyMillis + 1));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    return get(key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> acquireLease(
      String key, String holder, Duration timeToLive) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> renewLease(PlatformLease lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> releaseLease(PlatformLease lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void close() {}
}
