package io.foxtaildoor.process.platform;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Client of the platform's HTTP/JSON interface.
 *
 * <p>Its own methods are limited by the call budget for background calls. The views {@link
 * #interactive()} and {@link #partFetches()} have separate budgets and share the connections.
 */
public final class HttpPlatformClient implements PlatformClient {
  private final PlatformCallExecutor calls;
  private final PlatformClient background;
  private final PlatformClient interactive;
  private final PlatformClient partFetches;

  /**
   * Creates a client.
   *
   * @param clock monotonic time in nanoseconds
   */
  public HttpPlatformClient(
      PlatformSettings settings,
      EventLoopGroup group,
      LongSupplier clock,
      RandomGenerator random,
      MeterRegistry registry) {
    calls = new PlatformCallExecutor(settings, group, clock, random, registry);
    background = new BudgetedPlatformClient(calls, settings.background(), true);
    interactive = new BudgetedPlatformClient(calls, settings.interactive(), false);
    partFetches = new BudgetedPlatformClient(calls, settings.partFetches(), true);
  }

  /**
   * Returns a view for calls made on behalf of operators, with a budget separate from that of
   * background calls.
   */
  public PlatformClient interactive() {
    return interactive;
  }

  /**
   * Returns a view for fetching configuration parts, to be used only while holding a reader lease.
   */
  public PlatformClient partFetches() {
    return partFetches;
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    return background.get(key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    return background.compareAndSet(key, expectedRevision, value);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    return background.compareAndDelete(key, expectedRevision);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    return background.watch(key, knownRevision, maxWait);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> acquireLease(
      String key, String holder, Duration timeToLive) {
    return background.acquireLease(key, holder, timeToLive);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> renewLease(PlatformLease lease) {
    return background.renewLease(lease);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> releaseLease(PlatformLease lease) {
    return background.releaseLease(lease);
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
