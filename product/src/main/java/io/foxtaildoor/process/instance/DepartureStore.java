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
  private static final System.Logger LOG = System.getLogger(DepartureStore.class.getName());
  private static final String PREFIX = "leaving/";
  private static final String SEPARATOR = " ";

  private final KeyValueStore store;
  private final String key;

  /** Creates the log of the instance at an address. */
  public DepartureStore(KeyValueStore store, InetSocketAddress instance) {
    this.store = store;
    this.key = PREFIX + instance.getAddress().getHostAddress() + ":" + instance.getPort();
  }

  /** Reads the instance that left last; the result is empty when the platform does not answer. */
  public CompletableFuture<Optional<LastDeparture>> read() {
    return store.get(key).thenApply(DepartureStore::lastLeft);
  }

  /**
   * The instance that left last.
   *
   * @param incarnation empty when none has left yet
   * @param revision revision of the record
   */
  public record LastDeparture(Optional<Incarnation> incarnation, long revision) {}

  private static Optional<LastDeparture> lastLeft(PlatformResult<PlatformEntry> result) {
    if (result instanceof PlatformResult.Done<PlatformEntry> done) {
      return Optional.of(lastLeft(done.value()));
    }
    if (result instanceof PlatformResult.Conflict<PlatformEntry> conflict) {
      return Optional.of(lastLeft(conflict.present()));
    }
    return Optional.empty();
  }

  private static LastDeparture lastLeft(PlatformEntry entry) {
    return new LastDeparture(entry.exists() ? parse(entry.value()) : Optional.empty(), entry.revision());
  }

  private static Optional<Incarnation> parse(byte[] value) {
    String text = new String(value, StandardCharsets.UTF_8);
    int at = text.indexOf(SEPARATOR);
    try {
      return Optional.of(
          new Incarnation(
              new InstanceId(text.substring(at + 1)), Long.parseLong(text.substring(0, at))));
    } catch (IndexOutOfBoundsException | NumberFormatException | FoxtaildoorException e) {
      LOG.log(Level.WARNING, "the record of the last instance that left cannot be read", e);
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
            present -> {
              if (!(present instanceof PlatformResult.Done<PlatformEntry> done)) {
                return CompletableFuture.completedFuture(false);
              }
              if (lastLeft(done.value()).incarnation().equals(Optional.of(incarnation))) {
                return CompletableFuture.completedFuture(true);
              }
              return store
                  .compareAndSet(key, done.value().revision(), format(incarnation))
                  .thenApply(written -> written instanceof PlatformResult.Done);
            });
  }

  private static byte[] format(Incarnation incarnation) {
    String text = incarnation.startedMillis() + SEPARATOR + incarnation.id();
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
