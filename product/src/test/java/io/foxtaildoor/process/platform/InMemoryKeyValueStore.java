package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * In-memory key-value store for tests. While it is down, calls have no effect and are reported as
 * unavailable.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
  private final Map<String, PlatformEntry> entries = new HashMap<>();
  private long revision;
  private boolean down;

  /** Sets whether the store is down. */
  public synchronized void setDown(boolean wanted) {
    down = wanted;
  }

  @Override
  public synchronized CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    return answer(new PlatformResult.Done<>(present(key)));
  }

  private PlatformEntry present(String key) {
    return entries.getOrDefault(key, new PlatformEntry(key, ABSENT_REVISION, new byte[0]));
  }

  private CompletableFuture<PlatformResult<PlatformEntry>> answer(
      PlatformResult<PlatformEntry> result) {
    return CompletableFuture.completedFuture(
        down ? new PlatformResult.Unavailable<>("the store is down") : result);
  }

  @Override
  public synchronized CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    PlatformEntry present = present(key);
    if (down || present.revision() != expectedRevision) {
      return answer(new PlatformResult.Conflict<>(present));
    }
    revision++;
    PlatformEntry written = new PlatformEntry(key, revision, value);
    entries.put(key, written);
    return answer(new PlatformResult.Done<>(written));
  }

  @Override
  public synchronized CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    PlatformEntry present = present(key);
    if (down || present.revision() != expectedRevision) {
      return answer(new PlatformResult.Conflict<>(present));
    }
    entries.remove(key);
    return answer(new PlatformResult.Done<>(present(key)));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    return get(key);
  }

  @Override
  public void close() {}
}
