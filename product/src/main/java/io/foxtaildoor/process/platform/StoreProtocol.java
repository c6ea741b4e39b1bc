package io.foxtaildoor.process.platform;

import java.io.IOException;
import java.time.Duration;

/**
 * Encoding of a platform's key-value calls as HTTP requests. Implementations are stateless and make
 * no decisions.
 */
public interface StoreProtocol {
  /**
   * One call: the request to send and the parser of its response.
   *
   * @param <T> type of the value that a successful call returns
   */
  record StoreCall<T>(PlatformRequest request, ResponseParser<T> parser) {}

  /** Parses a complete response. */
  @FunctionalInterface
  interface ResponseParser<T> {
    /**
     * Parses a response.
     *
     * @param status HTTP status code
     * @throws IOException if the response is malformed
     */
    PlatformResult<T> parse(int status, byte[] body) throws IOException;
  }

  /** Returns the call for {@link KeyValueStore#get}. */
  StoreCall<PlatformEntry> get(String key);

  /** Returns the call for {@link KeyValueStore#compareAndSet}. */
  StoreCall<PlatformEntry> compareAndSet(String key, long expectedRevision, byte[] value);

  /** Returns the call for {@link KeyValueStore#compareAndDelete}. */
  StoreCall<PlatformEntry> compareAndDelete(String key, long expectedRevision);

  /** Returns the call for {@link KeyValueStore#watch}. */
  StoreCall<PlatformEntry> watch(String key, long knownRevision, Duration maxWait);
}
