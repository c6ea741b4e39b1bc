package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A thread-safe LRU cache of parts by digest, bounded by their total size in bytes. */
final class PartCache {
  private final int maxBytes;
  private final Map<Digest, byte[]> parts = new LinkedHashMap<>(16, 0.75f, true);
  private int cachedBytes;

  PartCache(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  synchronized Optional<byte[]> get(Digest digest) {
    return Optional.ofNullable(parts.get(digest));
  }

  synchronized void put(Digest digest, byte[] content) {
    if (parts.putIfAbsent(digest, content) != null) {
      return;
    }
    cachedBytes += content.length;
    Iterator<byte[]> leastRecentlyUsed = parts.values().iterator();
    while (cachedBytes > maxBytes && leastRecentlyUsed.hasNext()) {
      cachedBytes -= leastRecentlyUsed.next().length;
      leastRecentlyUsed.remove();
    }
  }
}
