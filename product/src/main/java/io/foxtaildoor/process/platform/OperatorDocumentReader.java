package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Watches the key that holds the operator's complete configuration and passes each new version to
 * the distributor. At most one step runs at a time. After a failed call the key is read again in
 * full, because the watch may have missed changes.
 */
public final class OperatorDocumentReader implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(OperatorDocumentReader.class.getName());
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(500);
  private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(500);
  private static final long NOT_READ = -1;

  private final String key;
  private final Supplier<Duration> watchWait;
  private final KeyValueStore store;
  private final ConfigurationDecoder decoder;
  private final BooleanSupplier isReader;
  private final PublishedConfigurationReceiver distributor;
  private final TaskScheduler scheduler;
  private final RandomGenerator random;
  private final ExponentialBackoff backoff = new ExponentialBackoff(INITIAL_BACKOFF, MAX_BACKOFF);
  private long observedRevision = NOT_READ;
  private long appliedRevision;
  private volatile boolean closed;

  /**
   * Creates a reader.
   *
   * @param watchWait maximum time that the next watch call waits for a change
   * @param isReader returns whether this node is currently one of those that read the platform
   * @param scheduler runs the steps; a step that applies a version takes milliseconds
   */
  public OperatorDocumentReader(
      String key,
      Supplier<Duration> watchWait,
      KeyValueStore store,
      ConfigurationDecoder decoder,
      BooleanSupplier isReader,
      PublishedConfigurationReceiver distributor,
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

  /** Starts the read loop. */
  public void start() {
    scheduleStep(Duration.ZERO);
  }

  /** Stops the reader. The result of a pending call is ignored. */
  @Override
  public void close() {
    closed = true;
  }

  private void scheduleStep(Duration delay) {
    if (!closed) {
      scheduler.schedule(delay, this::step);
    }
  }

  private void step() {
    if (!isReader.getAsBoolean()) {
      observedRevision = NOT_READ;
      scheduleStep(READER_CHECK_INTERVAL);
      return;
    }
    CompletableFuture<PlatformResult<PlatformEntry>> call =
        observedRevision == NOT_READ
            ? store.get(key)
            : store.watch(key, observedRevision, watchWait.get());
    continueWith(call, this::onEntryRead);
  }

  private void continueWith(
      CompletableFuture<PlatformResult<PlatformEntry>> call,
      Consumer<PlatformResult<PlatformEntry>> next) {
    CompletableFuture<Void> unused =
        call.thenAcceptAsync(next, task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  LOG.log(Level.ERROR, "configuration reader step failed", e);
                  retry();
                  return null;
                });
  }

  private void retry() {
    observedRevision = NOT_READ;
    scheduleStep(Duration.ofNanos(backoff.recordFailure(random)));
  }

  private void onEntryRead(PlatformResult<PlatformEntry> result) {
    if (closed) {
      return;
    }
    if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
      LOG.log(Level.DEBUG, "reading the configuration failed: {0}", result);
      retry();
      return;
    }
    backoff.reset();
    PlatformEntry entry = done.value();
    observedRevision = entry.observedRevision();
    if (entry.exists() && entry.revision() > appliedRevision) {
      appliedRevision = entry.revision();
      publish(entry);
    }
    scheduleStep(observedRevision == NOT_READ ? INITIAL_BACKOFF : Duration.ZERO);
  }

  private void publish(PlatformEntry entry) {
    try {
      ConfigurationDecoder.Decoded decoded = decoder.decode(entry.value());
      distributor.onPublished(decoded.manifest(), decoded.parts());
    } catch (FoxtaildoorException e) {
      LOG.log(
          Level.ERROR,
          "the configuration at revision {0} is invalid and was skipped: {1}",
          entry.revision(),
          e.getMessage());
    }
  }
}
