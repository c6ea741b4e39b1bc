package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Reads the accepted configuration. Parts come from the configuration in force, then from a cache,
 * then from the platform, so a freshly started node works as well.
 */
final class AcceptedStore {
  /** Parts fetched at once; the platform takes a burst of 5 calls from a process. */
  private static final int FETCHED_AT_ONCE = 4;

  private final PlatformReads reads;
  private final Supplier<ConfigurationSnapshot> held;
  private final PartCache cache;

  AcceptedStore(PlatformReads reads, Supplier<ConfigurationSnapshot> held, int cacheBytes) {
    this.reads = reads;
    this.held = held;
    this.cache = new PartCache(cacheBytes);
  }

  static String partKey(Digest digest) {
    return "part/" + digest.hex();
  }

  /** Reads the head; fails when it is older than the version in force. */
  CompletableFuture<AcceptedHead> readHead() {
    return reads.get(AcceptedHead.KEY).thenApply(this::checkedHead);
  }

  private AcceptedHead checkedHead(PlatformEntry entry) {
    long inForce = held.get().stamp().version();
    AcceptedHead head = AcceptedHead.of(entry);
    if (head.version() < inForce) {
      // A stale read, or a platform restored from a backup: to go on would reuse version numbers.
      throw new FoxtaildoorException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the platform's head is at version "
              + head.version()
              + ", older than version "
              + inForce
              + " in force");
    }
    return head;
  }

  /** Gives the bytes of parts by digest. */
  CompletableFuture<Map<Digest, byte[]>> loadParts(Collection<Digest> digests) {
    Map<Digest, byte[]> parts = new HashMap<>();
    ConfigurationSnapshot current = held.get();
    for (Digest digest : digests) {
      current.part(digest).or(() -> cache.get(digest)).ifPresent(c -> parts.put(digest, c));
    }
    List<Digest> missing = digests.stream().filter(d -> !parts.containsKey(d)).toList();
    return fetch(missing, parts);
  }

  private CompletableFuture<Map<Digest, byte[]>> fetch(
      List<Digest> missing, Map<Digest, byte[]> parts) {
    if (missing.isEmpty()) {
      return CompletableFuture.completedFuture(parts);
    }
    int count = Math.min(FETCHED_AT_ONCE, missing.size());
    List<CompletableFuture<byte[]>> fetched =
        missing.subList(0, count).stream().map(this::fetch).toList();
    return CompletableFuture.allOf(fetched.toArray(CompletableFuture<?>[]::new))
        .thenCompose(
            done -> {
              for (int i = 0; i < count; i++) {
                parts.put(missing.get(i), fetched.get(i).join());
              }
              return fetch(missing.subList(count, missing.size()), parts);
            });
  }

  private CompletableFuture<byte[]> fetch(Digest digest) {
    return reads
        .get(partKey(digest))
        .thenApply(
            entry -> {
              if (!holds(entry, digest)) {
                throw new FoxtaildoorException(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the part " + digest.abbreviated() + " is missing on the platform");
              }
              cache.put(digest, entry.value());
              return entry.value();
            });
  }

  /** Whether an entry has the bytes of a digest. */
  static boolean holds(PlatformEntry entry, Digest digest) {
    return entry.exists() && Digest.of(entry.value()).equals(digest);
  }
}
