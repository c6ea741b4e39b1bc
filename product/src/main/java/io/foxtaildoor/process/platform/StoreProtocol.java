package io.foxtaildoor.process.platform;

import java.io.IOException;
import java.time.Duration;

/** Form of a platform's key-value calls; without state and decisions. */
public interface StoreProtocol {
  /**
   * One call: what is sent and how its answer reads.
   *
   * @param <T> what a successful call gives
   */
  record StoreCall<T>(PlatformRequest request, AnswerReader<T> reader) {}

  /** Reads a whole answer. */
  @FunctionalInterface
  interface AnswerReader<T> {
    /**
     * Reads the result.
     *
     * @param status HTTP status
     * @throws IOException when the answer is malformed
     */
    PlatformResult<T> read(int status, byte[] body) throws IOException;
  }

  /** The call of {@link KeyValueStore#get}. */
  StoreCall<PlatformEntry> get(String key);

  /** The call of {@link KeyValueStore#compareAndSet}. */
  StoreCall<PlatformEntry> compareAndSet(String key, long expectedRevision, byte[] value);

  /** The call of {@link KeyValueStore#compareAndDelete}. */
  StoreCall<PlatformEntry> compareAndDelete(String key, long expectedRevision);

  /** The call of {@link KeyValueStore#watch}. */
  StoreCall<PlatformEntry> watch(String key, long knownRevision, Duration maxWait);
}
