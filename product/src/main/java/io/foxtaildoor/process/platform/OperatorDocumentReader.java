package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Watches one key that holds an operator's whole configuration and hands each version on. Its steps
 * run one after the other. After a failed call the key is read anew, because a watch may have lost
 * changes.
 */
public final class OperatorDocumentReader implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(OperatorDocumentReader.class.getName());
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(500);
  private static final Duration POLL = Duration.ofMillis(500);
  private static final long UNREAD = -1;

  private final String key;
  private final Duration watchWait;
  private final KeyValueStore store;
  private final ConfigurationDecoder decoder;
  private final BooleanSupplier isReader;
  private final PublishedConfiguration distributor;
  private final TaskScheduler scheduler;
  private final RandomGenerator random;
  private final ExponentialBackoff backoff = new ExponentialBackoff(INITIAL_BACKOFF, MAX_BACKOFF);
  private long observed = UNREAD;
  private long appliedRevision;
  private volatile boolean closed;

  /**
   * Creates a reader.
   *
   * @param watchWait time for which the platform may hold a watch
   * @param isReader whether this node is one of those that read the platform
   * @param scheduler runs the steps; applying a version takes milliseconds
   */
  public OperatorDocumentReader(
      String key,
      Duration watchWait,
      KeyValueStore store,
      ConfigurationDecoder decoder,
      BooleanSupplier isReader,
      PublishedConfiguration distributor,
      TaskScheduler scheduler,
      RandomGenerator random) {
    this.key = key;
    this.watchWait = watchWait;
    this.store = store;
    this.decoder = decoder;
    this.isReader = isReader;
    this.distributor = distributor;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts reading. */
  public void start() {
    later(Duration.ZERO);
  }

  /** Stops; the result of a pending call is dropped. */
  @Override
  public void close() {
    closed = true;
  }

  private void later(Duration delay) {
    if (!closed) {
      scheduler.schedule(delay, this::step);
    }
  }

  private void step() {
    if (!isReader.getAsBoolean()) {
      observed = UNREAD;
      later(POLL);
      return;
    }
    CompletableFuture<PlatformResult<PlatformEntry>> call =
        observed == UNREAD ? store.get(key) : store.watch(key, observed, watchWait);
    then(call, this::took);
  }

  private void then(
      CompletableFuture<PlatformResult<PlatformEntry>> call,
      Consumer<PlatformResult<PlatformEntry>> next) {
    CompletableFuture<Void> unused =
        call.thenAcceptAsync(next, task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  LOG.log(Level.ERROR, "a step of the configuration reader failed", e);
                  retry();
                  return null;
                });
  }

  private void retry() {
    observed = UNREAD;
    later(Duration.ofNanos(backoff.recordFailure(random)));
  }

  private void took(PlatformResult<PlatformEntry> result) {
    if (closed) {
      return;
    }
    if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
      LOG.log(Level.DEBUG, "the configuration was not read: {0}", result);
      retry();
      return;
    }
    backoff.reset();
    PlatformEntry entry = done.value();
    observed = entry.observedRevision();
    if (entry.exists() && entry.revision() > appliedRevision) {
      appliedRevision = entry.revision();
      publish(entry);
    }
    later(observed == UNREAD ? INITIAL_BACKOFF : Duration.ZERO);
  }

  private void publish(PlatformEntry entry) {
    try {
      ConfigurationDecoder.Decoded decoded = decoder.decode(entry.value());
      distributor.published(decoded.manifest(), decoded.parts());
    } catch (FoxtaildoorException e) {
      LOG.log(
          Level.ERROR,
          "the configuration at revision {0} cannot be used: {1}",
          entry.revision(),
          e.getMessage());
    }
  }
}
