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
 * Keeps on the platform which instance at an address left last, so that a restarted node does not
 * take a delayed report of that instance for news. There is one key for each address of a node, so
 * the keys need no cleaning up.
 */
public final class DepartureStore {
  private static final System.Logger LOGGER = System.getLogger(DepartureStore.class.getName());
  private static final String KEY_PREFIX = "leaving/";
  private static final String SEPARATOR = " ";

  private final KeyValueStore store;
  private final String key;

  /** Creates the log of the instance at an address. */
  public DepartureStore(KeyValueStore store, InetSocketAddress instance) {
    this.store = store;
    this.key = KEY_PREFIX + instance.getAddress().getHostAddress() + ":" + instance.getPort();
  }

  /** Reads the instance that left last; the result is empty when the platform does not answer. */
  public CompletableFuture<Optional<LastDeparture>> read() {
    return store.get(key).thenApply(DepartureStore::toLastDeparture);
  }

  /**
   * The instance that left last.
   *
   * @param incarnation empty when none has left yet
   * @param revision revision of the record
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
      LOGGER.log(Level.WARNING, "the record of the last instance that left cannot be read", e);
      return Optional.empty();
    }
  }

  /**
   * Records an instance, over whatever the record holds.
   *
   * @return whether the platform confirmed it
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
