package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.KeyValueStore;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.PlatformResult;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stores on the platform which instance at an address departed last, so that a restarted node does
 * not mistake a delayed report of that instance for a current one. There is one key for each
 * instance address, and it is reused, so the keys need no cleanup.
 */
public final class DepartureStore {
  private static final System.Logger LOGGER = System.getLogger(DepartureStore.class.getName());
  private static final String KEY_PREFIX = "leaving/";
  private static final String SEPARATOR = " ";

  private final KeyValueStore store;
  private final String key;

  /** Creates a store for the instance at an address. */
  public DepartureStore(KeyValueStore store, InetSocketAddress instance) {
    this.store = store;
    this.key = KEY_PREFIX + instance.getAddress().getHostAddress() + ":" + instance.getPort();
  }

  /** Reads the last departure; the result is empty when the platform does not answer. */
  public CompletableFuture<Optional<LastDeparture>> read() {
    return store.get(key).thenApply(DepartureStore::toLastDeparture);
  }

  /**
   * The last departure at an address.
   *
   * @param incarnation departed incarnation; empty when none has departed yet
   * @param revision revision of the key on the platform
   */
  public record LastDeparture(Optional<Incarnation> incarnation, long revision) {}

  private static Optional<LastDeparture> toLastDeparture(PlatformResult<PlatformEntry> result) {
    if (result instanceof PlatformResult.Done<PlatformEntry> done) {
      return Optional.of(toLastDeparture(done.value()));
    }
    if (result instanceof PlatformResult.Conflict<PlatformEntry> conflict) {
      return Optional.of(toLastDeparture(conflict.present()));
    }
    return Optional.empty();
  }

  private static LastDeparture toLastDeparture(PlatformEntry entry) {
    return new LastDeparture(
        entry.exists() ? parse(entry.value()) : Optional.empty(), entry.revision());
  }

  private static Optional<Incarnation> parse(byte[] value) {
    String text = new String(value, StandardCharsets.UTF_8);
    int separator = text.indexOf(SEPARATOR);
    try {
      return Optional.of(
          new Incarnation(
              new InstanceId(text.substring(separator + 1)),
              Long.parseLong(text.substring(0, separator))));
    } catch (IndexOutOfBoundsException | NumberFormatException | FoxtaildoorException e) {
      LOGGER.log(Level.WARNING, "the stored record of the last departed instance is malformed", e);
      return Optional.empty();
    }
  }

  /**
   * Stores an incarnation as the last one that departed, whatever the key held before.
   *
   * @return whether the platform confirmed the write
   */
  public CompletableFuture<Boolean> record(Incarnation incarnation) {
    return store
        .get(key)
        .thenCompose(
            readResult -> {
              if (!(readResult instanceof PlatformResult.Done<PlatformEntry> done)) {
                return CompletableFuture.completedFuture(false);
              }
              if (toLastDeparture(done.value()).incarnation().equals(Optional.of(incarnation))) {
                return CompletableFuture.completedFuture(true);
              }
              return store
                  .compareAndSet(key, done.value().revision(), format(incarnation))
                  .thenApply(writeResult -> writeResult instanceof PlatformResult.Done);
            });
  }

  private static byte[] format(Incarnation incarnation) {
    String text = incarnation.startedMillis() + SEPARATOR + incarnation.id();
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
