package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Addresses through which new nodes join the cluster of a data centre, stored on the platform under
 * {@code contacts/<data centre>}: one {@code address:port} per line, newest first.
 */
public final class ContactDirectory {
  private static final int MAX_PORT = 0xffff;

  private final PlatformClient client;
  private final int maxAddresses;

  /**
   * Creates a directory.
   *
   * @param maxAddresses maximum number of addresses kept for each data centre
   */
  public ContactDirectory(PlatformClient client, int maxAddresses) {
    this.client = client;
    this.maxAddresses = maxAddresses;
  }

  /** Reads the addresses of a data centre. The list is empty if the platform does not respond. */
  public CompletableFuture<List<InetSocketAddress>> read(DataCentreId dataCentre) {
    return client
        .get(key(dataCentre))
        .thenApply(
            result ->
                result instanceof PlatformResult.Done<PlatformEntry> done
                    ? parse(done.value().value())
                    : List.of());
  }

  /**
   * Adds an address at the head of the list unless it is already listed.
   *
   * @return whether the address is listed afterwards; false if the platform call failed or another
   *     reader changed the list concurrently
   */
  public CompletableFuture<Boolean> publish(DataCentreId dataCentre, InetSocketAddress address) {
    return client
        .get(key(dataCentre))
        .thenCompose(
            result -> {
              if (result instanceof PlatformResult.Done<PlatformEntry> done) {
                return addAddress(done.value(), address);
              }
              return CompletableFuture.completedFuture(false);
            });
  }

  private CompletableFuture<Boolean> addAddress(PlatformEntry entry, InetSocketAddress address) {
    List<InetSocketAddress> current = parse(entry.value());
    if (current.contains(address)) {
      return CompletableFuture.completedFuture(true);
    }
    List<InetSocketAddress> updated = new ArrayList<>();
    updated.add(address);
    current.stream().limit(maxAddresses - 1L).forEach(updated::add);
    return client
        .compareAndSet(entry.key(), entry.revision(), format(updated))
        .thenApply(result -> result instanceof PlatformResult.Done);
  }

  private static byte[] format(List<InetSocketAddress> addresses) {
    StringBuilder text = new StringBuilder();
    for (InetSocketAddress address : addresses) {
      text.append(address.getAddress().getHostAddress())
          .append(':')
          .append(address.getPort())
          .append('\n');
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Skips malformed lines: a newer release may add to them. */
  private static List<InetSocketAddress> parse(byte[] value) {
    return new String(value, StandardCharsets.UTF_8)
        .lines()
        .map(ContactDirectory::parseLine)
        .flatMap(Optional::stream)
        .toList();
  }

  static Optional<InetSocketAddress> parseLine(String line) {
    int colon = line.lastIndexOf(':');
    if (colon < 0 || !line.substring(colon + 1).matches("[0-9]{1,5}")) {
      return Optional.empty();
    }
    int port = Integer.parseInt(line.substring(colon + 1));
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(line.substring(0, colon));
    if (address == null || port > MAX_PORT) {
      return Optional.empty();
    }
    return Optional.of(new InetSocketAddress(address, port));
  }

  private static String key(DataCentreId dataCentre) {
    return "contacts/" + dataCentre;
  }
}
