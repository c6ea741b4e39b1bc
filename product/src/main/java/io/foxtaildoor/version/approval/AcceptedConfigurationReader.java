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
 * Reads the accepted configuration. Each part is looked up in the configuration in force, then in a
 * cache and then on the platform, so that a newly started node can serve requests as well.
 */
final class AcceptedConfigurationReader {
  /** Maximum number of concurrent fetches. The platform accepts bursts of 5 calls per process. */
  private static final int MAX_CONCURRENT_FETCHES = 4;

  private final PlatformReads reads;
  private final Supplier<ConfigurationSnapshot> held;
  private final PartCache cache;

  AcceptedConfigurationReader(
      PlatformReads reads, Supplier<ConfigurationSnapshot> held, int cacheBytes) {
    this.reads = reads;
    this.held = held;
    this.cache = new PartCache(cacheBytes);
  }

  static String partKey(Digest digest) {
    return "part/" + digest.hex();
  }

  /**
   * Reads the head record. Fails when its version is older than the version in force on this node.
   */
  CompletableFuture<AcceptedHead> readHead() {
    return reads.get(AcceptedHead.KEY).thenApply(this::parseAndCheckHead);
  }

  private AcceptedHead parseAndCheckHead(PlatformEntry entry) {
    long inForce = held.get().stamp().version();
    AcceptedHead head = AcceptedHead.parse(entry);
    if (head.version() < inForce) {
      // The read was stale, or the platform was restored from a backup. Continuing would assign
      // version numbers a second time.
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

  /** Loads the content of the given parts, keyed by digest. */
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
    int count = Math.min(MAX_CONCURRENT_FETCHES, missing.size());
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
              if (!hasContent(entry, digest)) {
                throw new FoxtaildoorException(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the part " + digest.abbreviated() + " is missing on the platform");
              }
              cache.put(digest, entry.value());
              return entry.value();
            });
  }

  /** Whether an entry exists and its value matches the digest. */
  static boolean hasContent(PlatformEntry entry, Digest digest) {
    return entry.exists() && Digest.of(entry.value()).equals(digest);
  }
}
