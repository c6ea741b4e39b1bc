package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Reads of the platform whose futures fail with a {@link FoxtaildoorException}. */
public final class PlatformReads {
  private final PlatformClient platform;
  private final Executor executor;

  /** Creates reads that continue on an executor instead of the platform client's event loop. */
  public PlatformReads(PlatformClient platform, Executor executor) {
    this.platform = platform;
    this.executor = executor;
  }

  /**
   * Reads a key; an absent key gives an entry that does not exist. The future fails with {@link
   * ErrorKind#PLATFORM_UNAVAILABLE} when the platform gives no answer.
   */
  public CompletableFuture<PlatformEntry> get(String key) {
    return platform.get(key).thenApplyAsync(result -> entry(key, result), executor);
  }

  private static PlatformEntry entry(String key, PlatformResult<PlatformEntry> result) {
    if (result instanceof PlatformResult.Done<PlatformEntry> done) {
      return done.value();
    }
    throw new FoxtaildoorException(
        ErrorKind.PLATFORM_UNAVAILABLE, "the platform does not answer a read of " + key);
  }
}
