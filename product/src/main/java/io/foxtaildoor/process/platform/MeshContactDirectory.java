package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Addresses of nodes in all data centres, stored on the platform under {@code contacts/mesh}: one
 * {@code <data centre> <address:port>} per line, newest first. Through this key, data centres
 * without configured contact addresses discover each other.
 */
public final class MeshContactDirectory {
  /** Maximum number of addresses stored under the key. */
  static final int MAX_ADDRESSES = 64;

  /**
   * Maximum number of addresses of one data centre. With 11 data centres, 44 of the {@value
   * #MAX_ADDRESSES} addresses are used.
   */
  static final int MAX_PER_DATA_CENTRE = 4;

  private static final String KEY = "contacts/mesh";

  private final KeyValueStore store;

  private record Contact(String dataCentre, InetSocketAddress address) {
    static Optional<Contact> parse(String line) {
      int space = line.indexOf(' ');
      return space <= 0
          ? Optional.empty()
          : ContactDirectory.parseLine(line.substring(space + 1))
              .map(address -> new Contact(line.substring(0, space), address));
    }

    String format() {
      return dataCentre
          + " "
          + address.getAddress().getHostAddress()
          + ":"
          + address.getPort()
          + "\n";
    }
  }

  /** Creates a directory that is stored in a key-value store. */
  public MeshContactDirectory(KeyValueStore store) {
    this.store = store;
  }

  /** Reads all addresses with one call. The list is empty if the platform does not respond. */
  public CompletableFuture<List<InetSocketAddress>> read() {
    return store.get(KEY).thenApply(result -> addresses(parseContacts(result)));
  }

  /**
   * Reads all addresses, then adds this node's address and removes the addresses of its data centre
   * that are not alive. Writes only if the list has changed, so it makes at most two calls. A
   * failed or conflicting write is left to the next refresh.
   *
   * @return the addresses that were read, before any change
   */
  public CompletableFuture<List<InetSocketAddress>> refresh(
      DataCentreId dataCentre, InetSocketAddress self, Predicate<InetSocketAddress> alive) {
    return store
        .get(KEY)
        .thenCompose(
            result -> {
              List<Contact> current = parseContacts(result);
              CompletableFuture<List<InetSocketAddress>> found =
                  CompletableFuture.completedFuture(addresses(current));
              List<Contact> updated = updatedContacts(current, dataCentre.value(), self, alive);
              if (!(result instanceof PlatformResult.Done<PlatformEntry> done)
                  || updated.equals(current)) {
                return found;
              }
              return store
                  .compareAndSet(KEY, done.value().revision(), format(updated))
                  .thenCompose(written -> found);
            });
  }

  private static List<Contact> updatedContacts(
      List<Contact> current,
      String dataCentre,
      InetSocketAddress self,
      Predicate<InetSocketAddress> alive) {
    List<Contact> updated = new ArrayList<>();
    Contact own = new Contact(dataCentre, self);
    if (!current.contains(own)) {
      updated.add(own);
    }
    int others = 0;
    for (Contact contact : current) {
      if (contact.equals(own) || !contact.dataCentre().equals(dataCentre)) {
        updated.add(contact);
      } else if (others < MAX_PER_DATA_CENTRE - 1 && alive.test(contact.address())) {
        updated.add(contact);
        others++;
      }
    }
    return updated.subList(0, Math.min(updated.size(), MAX_ADDRESSES));
  }

  private static List<Contact> parseContacts(PlatformResult<PlatformEntry> result) {
    if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
      return List.of();
    }
    return new String(done.value().value(), StandardCharsets.UTF_8)
        .lines()
        .map(Contact::parse)
        .flatMap(Optional::stream)
        .distinct()
        .limit(MAX_ADDRESSES)
        .toList();
  }

  private static List<InetSocketAddress> addresses(List<Contact> contacts) {
    return contacts.stream().map(Contact::address).toList();
  }

  private static byte[] format(List<Contact> contacts) {
    StringBuilder text = new StringBuilder();
    contacts.forEach(contact -> text.append(contact.format()));
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }
}
