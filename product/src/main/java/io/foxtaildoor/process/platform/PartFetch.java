package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Fetches those parts of a manifest that the node does not hold yet and verifies their digests. */
@SuppressWarnings("FutureReturnValueIgnored") // The client's futures never complete exceptionally.
final class PartFetch {
  private final PlatformClient client;
  private final Manifest manifest;
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private final Queue<Digest> missing = new ArrayDeque<>();
  private final CompletableFuture<Boolean> finished = new CompletableFuture<>();
  private int pendingFetches;
  private boolean failed;

  /**
   * Creates a fetch.
   *
   * @param fetched parts from an earlier fetch that did not complete
   */
  PartFetch(
      PlatformClient client,
      Manifest manifest,
      ConfigurationSnapshot held,
      Map<Digest, byte[]> fetched) {
    this.client = client;
    this.manifest = manifest;
    Set<Digest> lacking = new LinkedHashSet<>();
    for (Digest digest : manifest.entries().values()) {
      byte[] content = held.part(digest).orElse(fetched.get(digest));
      if (content == null) {
        lacking.add(digest);
      } else {
        parts.put(digest, content);
      }
    }
    missing.addAll(lacking);
  }

  Manifest manifest() {
    return manifest;
  }

  /** Returns the parts that are available. May be called only after the fetch has finished. */
  synchronized Map<Digest, byte[]> parts() {
    return Map.copyOf(parts);
  }

  /**
   * Starts the fetch. After the first failure no further part is requested.
   *
   * @param parallel number of parts fetched concurrently
   * @return whether all parts are available
   */
  CompletableFuture<Boolean> start(int parallel) {
    for (int i = 0; i < parallel; i++) {
      fetchNext();
    }
    return finished;
  }

  private void fetchNext() {
    Digest digest;
    boolean done;
    boolean complete;
    synchronized (this) {
      digest = failed ? null : missing.poll();
      done = digest == null && pendingFetches == 0;
      complete = !failed;
      pendingFetches += digest == null ? 0 : 1;
    }
    if (digest != null) {
      client.get("part/" + digest).thenAccept(result -> onFetched(digest, result));
    } else if (done) {
      finished.complete(complete);
    }
  }

  private void onFetched(Digest digest, PlatformResult<PlatformEntry> result) {
    synchronized (this) {
      pendingFetches--;
      if (result instanceof PlatformResult.Done<PlatformEntry> done
          && Digest.of(done.value().value()).equals(digest)) {
        parts.put(digest, done.value().value());
      } else {
        failed = true;
      }
    }
    fetchNext();
  }
}
