package io.foxtaildoor.process.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.version.manifest.Manifest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Watches the configuration head on the platform while this node holds a reader lease, and passes
 * each new version with its parts to the distributor.
 *
 * <p>At most one step runs at a time. A completely fetched version is passed on even if the lease
 * has expired in the meantime; this is safe because the distributor ignores older versions.
 */
public final class ConfigurationReader implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ConfigurationReader.class.getName());
  private static final String HEAD_KEY = "head";
  private static final long LEASE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

  private final DataCentreId dataCentre;
  private final InetSocketAddress self;
  private final ReaderSettings settings;
  private final PlatformClient client;
  private final PlatformClient partFetches;
  private final BooleanSupplier isReader;
  private final PublishedConfigurationReceiver distributor;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final ContactDirectory contacts;
  private final ExponentialBackoff backoff = new ExponentialBackoff(INITIAL_BACKOFF, MAX_BACKOFF);
  private long knownRevision = -1;
  private Map<Digest, byte[]> partiallyFetched = Map.of();
  private boolean contactsCheckScheduled;
  private long nextContactsCheckNanos;
  private volatile boolean closed;

  /**
   * Creates a reader.
   *
   * @param self address at which other nodes reach this node
   * @param partFetches view of the client with the call budget for fetching parts
   * @param isReader returns whether this node currently holds a reader lease
   * @param scheduler runs the steps on a single thread that serves no requests, because applying a
   *     version takes tens of milliseconds
   */
  public ConfigurationReader(
      DataCentreId dataCentre,
      InetSocketAddress self,
      ReaderSettings settings,
      PlatformClient client,
      PlatformClient partFetches,
      BooleanSupplier isReader,
      PublishedConfigurationReceiver distributor,
      TaskScheduler scheduler,
      LongSupplier clock,
      RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.self = self;
    this.settings = settings;
    this.client = client;
    this.partFetches = partFetches;
    this.isReader = isReader;
    this.distributor = distributor;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    contacts = new ContactDirectory(client, settings.contacts());
  }

  /** Starts the loop that reads the platform whenever this node holds a reader lease. */
  public void start() {
    scheduleStep(0);
  }

  /** Stops the reader. A pending watch ends at its deadline and its result is ignored. */
  @Override
  public void close() {
    closed = true;
  }

  private void scheduleStep(long delayNanos) {
    if (!closed) {
      scheduler.schedule(delayNanos, this::step);
    }
  }

  /**
   * Runs the next step on the scheduler when a call completes. An exception in a step is logged and
   * the loop continues after a back-off delay.
   */
  private <T> void continueWith(CompletableFuture<T> call, Consumer<T> next) {
    CompletableFuture<Void> unused =
        call.thenAcceptAsync(next, task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  // During an orderly shutdown, closing the client makes a pending watch fail.
                  if (!closed) {
                    LOG.log(System.Logger.Level.ERROR, "configuration reader step failed", e);
                  }
                  scheduleStep(backoff.recordFailure(random));
                  return null;
                });
  }

  private void step() {
    if (!isReader.getAsBoolean()) {
      contactsCheckScheduled = false;
      scheduleStep(LEASE_POLL_NANOS);
    } else if (isContactsCheckDue()) {
      continueWith(contacts.publish(dataCentre, self), this::onContactsChecked);
    } else {
      readHead();
    }
  }

  private boolean isContactsCheckDue() {
    return !contactsCheckScheduled || clock.getAsLong() - nextContactsCheckNanos >= 0;
  }

  /**
   * Schedules the next check of the published contact addresses. After a failed check the retry
   * waits for one lease time, so that reading the head takes precedence.
   */
  private void onContactsChecked(boolean published) {
    contactsCheckScheduled = true;
    Duration pause = published ? settings.contactsInterval() : settings.leaseTime();
    nextContactsCheckNanos = clock.getAsLong() + pause.toNanos();
    scheduleStep(0);
  }

  private void readHead() {
    boolean first = knownRevision < 0;
    continueWith(
        first ? client.get(HEAD_KEY) : client.watch(HEAD_KEY, knownRevision, settings.watchWait()),
        this::onHeadRead);
  }

  private void onHeadRead(PlatformResult<PlatformEntry> result) {
    if (closed) {
      return;
    }
    if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
      scheduleStep(backoff.recordFailure(random));
      return;
    }
    PlatformEntry entry = done.value();
    if (entry.revision() == knownRevision || !entry.exists()) {
      completeHead(entry);
      return;
    }
    try {
      fetchParts(entry, parseManifest(entry));
    } catch (InvalidProtocolBufferException | FoxtaildoorException e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "the configuration head on the platform is invalid and was skipped",
          e);
      completeHead(entry);
    }
  }

  private static Manifest parseManifest(PlatformEntry entry) throws InvalidProtocolBufferException {
    ConfigurationHead head = ConfigurationHead.parseFrom(entry.value());
    Manifest manifest = Manifest.of(head);
    byte[] expected = manifest.stamp().digest().bytes();
    if (!Arrays.equals(expected, head.getDigest().toByteArray())) {
      throw new InvalidProtocolBufferException(
          "the digest in the configuration head does not match its manifest");
    }
    return manifest;
  }

  private void fetchParts(PlatformEntry entry, Manifest manifest) {
    if (!manifest.stamp().isNewerThan(distributor.held().stamp())) {
      completeHead(entry);
      return;
    }
    PartFetch fetch = new PartFetch(partFetches, manifest, distributor.held(), partiallyFetched);
    continueWith(
        fetch.start(settings.parallelFetches()),
        complete -> onPartsFetched(entry, fetch, complete));
  }

  private void onPartsFetched(PlatformEntry entry, PartFetch fetch, boolean complete) {
    if (closed) {
      return;
    }
    if (complete) {
      partiallyFetched = Map.of();
      distributor.onPublished(fetch.manifest(), fetch.parts());
      completeHead(entry);
    } else {
      partiallyFetched = fetch.parts();
      scheduleStep(backoff.recordFailure(random));
    }
  }

  private void completeHead(PlatformEntry entry) {
    knownRevision = entry.revision();
    backoff.reset();
    scheduleStep(0);
  }
}
