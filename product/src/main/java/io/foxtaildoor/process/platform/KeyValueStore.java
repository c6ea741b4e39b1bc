package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Versioned key-value store on the platform.
 *
 * <p>The returned futures never complete exceptionally; failures are reported as a {@link
 * PlatformResult}. A value has at most {@value #MAX_VALUE_BYTES} bytes.
 */
public interface KeyValueStore extends AutoCloseable {
  /** Maximum size of a value on the platform, in bytes. */
  int MAX_VALUE_BYTES = 1_000_000;

  /**
   * Checks the size of a value before it is sent.
   *
   * @throws FoxtaildoorException if the value exceeds the limit
   */
  static void checkSize(String key, byte[] value) {
    if (value.length > MAX_VALUE_BYTES) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          "the value of " + key + " exceeds the platform's limit of " + MAX_VALUE_BYTES + " bytes");
    }
  }

  /** Revision of a key that does not exist. */
  long ABSENT_REVISION = 0;

  /**
   * Reads a key. For an absent key the result is an entry with {@link #ABSENT_REVISION} and an
   * empty value.
   */
  CompletableFuture<PlatformResult<PlatformEntry>> get(String key);

  /**
   * Writes a key if it has the expected revision. The result is the new entry, or a conflict with
   * the current entry. A write whose outcome is unknown is never retried.
   */
  CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value);

  /** Deletes a key if it has the expected revision. */
  CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision);

  /**
   * Waits until the revision of a key exceeds a known one or {@code maxWait} has elapsed. The
   * result is the current entry in both cases.
   *
   * @param knownRevision {@link PlatformEntry#observedRevision} of the entry read last
   */
  CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait);

  @Override
  void close();
}
