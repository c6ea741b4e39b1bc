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

/** Fetches the parts of one manifest that the node lacks and verifies their digests. */
@SuppressWarnings("FutureReturnValueIgnored") // No future of the client completes exceptionally.
final class PartFetch {
  private final PlatformClient client;
  private final Manifest manifest;
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private final Queue<Digest> missing = new ArrayDeque<>();
  private final CompletableFuture<Boolean> finished = new CompletableFuture<>();
  private int running;
  private boolean failed;

  /**
   * Creates a fetch.
   *
   * @param fetched parts from a former fetch that did not finish
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

  /** The parts that are present; only to be read after the fetch has finished. */
  synchronized Map<Digest, byte[]> parts() {
    return Map.copyOf(parts);
  }

  /** Starts the fetch; gives whether all parts are present and ends at the first failure. */
  CompletableFuture<Boolean> start(int parallel) {
    for (int i = 0; i < parallel; i++) {
      next();
    }
    return finished;
  }

  private void next() {
    Digest digest;
    boolean done;
    boolean complete;
    synchronized (this) {
      digest = failed ? null : missing.poll();
      done = digest == null && running == 0;
      complete = !failed;
      running += digest == null ? 0 : 1;
    }
    if (digest != null) {
      client.get("part/" + digest).thenAccept(result -> fetched(digest, result));
    } else if (done) {
      finished.complete(complete);
    }
  }

  private void fetched(Digest digest, PlatformResult<PlatformEntry> result) {
    synchronized (this) {
      running--;
      if (result instanceof PlatformResult.Done<PlatformEntry> done
          && Digest.of(done.value().value()).equals(digest)) {
        parts.put(digest, done.value().value());
      } else {
        failed = true;
      }
    }
    next();
  }
}
