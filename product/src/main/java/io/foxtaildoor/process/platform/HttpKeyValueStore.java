package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.StoreProtocol.StoreCall;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Key-value store over HTTP in the format of a {@link StoreProtocol}, limited by the call budget
 * for background calls.
 */
public final class HttpKeyValueStore implements KeyValueStore {
  private final StoreProtocol protocol;
  private final PlatformCalls calls;
  private final CallBudget budget;

  /**
   * Creates a store client.
   *
   * @param clock monotonic time in nanoseconds
   */
  public HttpKeyValueStore(
      StoreProtocol protocol,
      PlatformSettings settings,
      EventLoopGroup group,
      LongSupplier clock,
      RandomGenerator random,
      MeterRegistry registry) {
    this.protocol = protocol;
    calls = new PlatformCalls(settings, group, clock, random, registry);
    budget = new CallBudget(settings.background());
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    return run(protocol.get(key));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    if (value.length > MAX_VALUE_BYTES) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          "the value of " + key + " exceeds the platform's limit of " + MAX_VALUE_BYTES + " bytes");
    }
    return run(protocol.compareAndSet(key, expectedRevision, value));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    return run(protocol.compareAndDelete(key, expectedRevision));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    return run(protocol.watch(key, knownRevision, maxWait));
  }

  private <T> CompletableFuture<PlatformResult<T>> run(StoreCall<T> call) {
    return calls.run(call.request(), budget, false).thenApply(attempt -> result(attempt, call));
  }

  private static <T> PlatformResult<T> result(Attempt attempt, StoreCall<T> call) {
    if (attempt instanceof Attempt.NotSent notSent) {
      return new PlatformResult.Unavailable<>(notSent.reason());
    }
    if (attempt instanceof Attempt.Broken broken) {
      return unknown(call, broken.reason());
    }
    Attempt.Answered answered = (Attempt.Answered) attempt;
    try {
      return call.reader().read(answered.status(), answered.body());
    } catch (IOException e) {
      return unknown(call, "malformed response: " + e.getMessage());
    }
  }

  private static <T> PlatformResult<T> unknown(StoreCall<T> call, String reason) {
    return call.request().write()
        ? new PlatformResult.OutcomeUnknown<>(reason)
        : new PlatformResult.Unavailable<>(reason);
  }

  /**
   * Rejects further calls and closes the connections. Pending calls end at their deadlines at the
   * latest.
   */
  @Override
  public void close() {
    calls.close();
  }
}
