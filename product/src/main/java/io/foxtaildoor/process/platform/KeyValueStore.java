package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Keys and values on the platform.
 *
 * <p>No future completes exceptionally; every failure is a {@link PlatformResult}. Values have at
 * most {@value #MAX_VALUE_BYTES} bytes.
 */
public interface KeyValueStore extends AutoCloseable {
  /** Largest value that the platform holds, in bytes. */
  int MAX_VALUE_BYTES = 1_000_000;

  /** Revision of a key that does not exist. */
  long ABSENT_REVISION = 0;

  /** Reads a key; an absent key gives an entry with {@link #ABSENT_REVISION} and no bytes. */
  CompletableFuture<PlatformResult<PlatformEntry>> get(String key);

  /**
   * Writes a key if its revision is the expected one; gives the new entry, or a conflict with the
   * present entry. Never repeats a write whose outcome is unknown.
   */
  CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value);

  /** Removes a key if its revision is the expected one. */
  CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision);

  /**
   * Waits until the revision of a key passes a known one, at most for a time; gives the present
   * entry either way.
   *
   * @param knownRevision {@link PlatformEntry#observedRevision} of the last entry
   */
  CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait);

  @Override
  void close();
}
