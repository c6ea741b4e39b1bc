package io.foxtaildoor.process.platform;

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
  private final PlatformCallExecutor calls;
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
    calls = new PlatformCallExecutor(settings, group, clock, random, registry);
    budget = new CallBudget(settings.background());
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    return execute(protocol.get(key));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    KeyValueStore.checkSize(key, value);
    return execute(protocol.compareAndSet(key, expectedRevision, value));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    return execute(protocol.compareAndDelete(key, expectedRevision));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    return execute(protocol.watch(key, knownRevision, maxWait));
  }

  private <T> CompletableFuture<PlatformResult<T>> execute(StoreCall<T> call) {
    return calls
        .execute(call.request(), budget, false)
        .thenApply(outcome -> toResult(outcome, call));
  }

  private static <T> PlatformResult<T> toResult(ExchangeOutcome outcome, StoreCall<T> call) {
    if (outcome instanceof ExchangeOutcome.NotSent notSent) {
      return new PlatformResult.Unavailable<>(notSent.reason());
    }
    if (outcome instanceof ExchangeOutcome.Failed failed) {
      return unknownOutcome(call, failed.reason());
    }
    ExchangeOutcome.Answered answered = (ExchangeOutcome.Answered) outcome;
    try {
      return call.parser().parse(answered.status(), answered.body());
    } catch (IOException e) {
      return unknownOutcome(call, "malformed response: " + e.getMessage());
    }
  }

  private static <T> PlatformResult<T> unknownOutcome(StoreCall<T> call, String reason) {
    return call.request().changesState()
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
