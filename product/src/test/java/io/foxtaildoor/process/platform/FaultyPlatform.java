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

/** In-memory platform whose calls take virtual time and fail as a test tells. */
public final class FaultyPlatform implements PlatformClient {
  /** What happens to one call. */
  public enum Fault {
    /** The call works. */
    NONE,
    /** The call has no effect and says so. */
    UNAVAILABLE,
    /** The write has no effect; its outcome is unknown. */
    REQUEST_LOST,
    /** The write takes effect; its outcome is unknown. */
    ANSWER_LOST,
    /** The outcome is unknown at once; the write arrives 250 ms later. */
    LATE
  }

  /** Ends the key that the chooser of faults gets for a removal. */
  public static final String REMOVAL = "#removal";

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

  /** Chooses the fault of each call by its key and whether it writes. */
  public void setFaults(BiFunction<String, Boolean, Fault> chooser) {
    faults = chooser;
  }

  /** The entries after the writes that took effect, in their order. */
  public List<PlatformEntry> effectiveWrites() {
    return effectiveWrites;
  }

  /** The keys that exist with a prefix. */
  public List<String> keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  public PlatformEntry entry(String key) {
    return entries.getOrDefault(key, new PlatformEntry(key, ABSENT_REVISION, new byte[0]));
  }

  /** Changes a key without a call. */
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
    return write(key, key + REMOVAL, expectedRevision, () -> entries.remove(key));
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

  /** Takes effect after half of the latency and answers after the rest. */
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
