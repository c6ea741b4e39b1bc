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
 * Watches the head on the platform while this node is a reader, and hands each new version with its
 * parts to the distributor.
 *
 * <p>Its steps run one after the other; a version that was complete is handed on even if the lease
 * lapsed meanwhile, because the distributor ignores older versions.
 */
public final class ConfigurationReader implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ConfigurationReader.class.getName());
  private static final String HEAD = "head";
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

  private final DataCentreId dataCentre;
  private final InetSocketAddress self;
  private final ReaderSettings settings;
  private final PlatformClient client;
  private final PlatformClient partFetches;
  private final BooleanSupplier isReader;
  private final PublishedConfiguration distributor;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final ContactDirectory contacts;
  private final ExponentialBackoff backoff = new ExponentialBackoff(INITIAL_BACKOFF, MAX_BACKOFF);
  private long knownRevision = -1;
  private Map<Digest, byte[]> unfinished = Map.of();
  private boolean contactsPublished;
  private long contactsCheckNanos;
  private volatile boolean closed;

  /**
   * Creates a reader.
   *
   * @param self address under which other nodes reach this one
   * @param partFetches view of the client for fetching parts
   * @param isReader whether this node holds a reader lease now
   * @param scheduler one thread that serves no requests, because applying a version takes tens of
   *     milliseconds
   */
  public ConfigurationReader(
      DataCentreId dataCentre,
      InetSocketAddress self,
      ReaderSettings settings,
      PlatformClient client,
      PlatformClient partFetches,
      BooleanSupplier isReader,
      PublishedConfiguration distributor,
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

  /** Starts reading whenever this node is a reader. */
  public void start() {
    later(0);
  }

  /** Stops; a pending watch ends by its deadline and its result is dropped. */
  @Override
  public void close() {
    closed = true;
  }

  private void later(long delayNanos) {
    if (!closed) {
      scheduler.schedule(delayNanos, this::step);
    }
  }

  /** Continues after a call; a fault in a step delays the reader but does not end it. */
  private <T> void then(CompletableFuture<T> call, Consumer<T> next) {
    CompletableFuture<Void> unused =
        call.thenAcceptAsync(next, task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  // A pending watch fails when the client closes at a planned stop.
                  if (!closed) {
                    LOG.log(System.Logger.Level.ERROR, "a step of the config reader failed", e);
                  }
                  later(backoff.recordFailure(random));
                  return null;
                });
  }

  private void step() {
    if (!isReader.getAsBoolean()) {
      contactsPublished = false;
      later(POLL_NANOS);
    } else if (contactsDue()) {
      then(contacts.publish(dataCentre, self), this::contactsChecked);
    } else {
      read();
    }
  }

  private boolean contactsDue() {
    return !contactsPublished || clock.getAsLong() - contactsCheckNanos >= 0;
  }

  /** A failed check is not repeated before the next interval: the head is more important. */
  private void contactsChecked(boolean published) {
    contactsPublished = true;
    Duration pause = published ? settings.contactsInterval() : settings.leaseTime();
    contactsCheckNanos = clock.getAsLong() + pause.toNanos();
    later(0);
  }

  private void read() {
    boolean first = knownRevision < 0;
    then(
        first ? client.get(HEAD) : client.watch(HEAD, knownRevision, settings.watchWait()),
        this::headRead);
  }

  private void headRead(PlatformResult<PlatformEntry> result) {
    if (closed) {
      return;
    }
    if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
      later(backoff.recordFailure(random));
      return;
    }
    PlatformEntry entry = done.value();
    if (entry.revision() == knownRevision || !entry.exists()) {
      finished(entry);
      return;
    }
    try {
      fetch(entry, manifest(entry));
    } catch (InvalidProtocolBufferException | FoxtaildoorException e) {
      LOG.log(System.Logger.Level.ERROR, "the head on the platform cannot be used", e);
      finished(entry);
    }
  }

  private static Manifest manifest(PlatformEntry entry) throws InvalidProtocolBufferException {
    ConfigurationHead head = ConfigurationHead.parseFrom(entry.value());
    Manifest manifest = Manifest.of(head);
    byte[] expected = manifest.stamp().digest().bytes();
    if (!Arrays.equals(expected, head.getDigest().toByteArray())) {
      throw new InvalidProtocolBufferException("the digest of the head is wrong");
    }
    return manifest;
  }

  private void fetch(PlatformEntry entry, Manifest manifest) {
    if (!manifest.stamp().isNewerThan(distributor.held().stamp())) {
      finished(entry);
      return;
    }
    PartFetch fetch = new PartFetch(partFetches, manifest, distributor.held(), unfinished);
    then(fetch.start(settings.parallelFetches()), complete -> fetched(entry, fetch, complete));
  }

  private void fetched(PlatformEntry entry, PartFetch fetch, boolean complete) {
    if (closed) {
      return;
    }
    if (complete) {
      unfinished = Map.of();
      distributor.published(fetch.manifest(), fetch.parts());
      finished(entry);
    } else {
      unfinished = fetch.parts();
      later(backoff.recordFailure(random));
    }
  }

  private void finished(PlatformEntry entry) {
    knownRevision = entry.revision();
    backoff.reset();
    later(0);
  }
}
