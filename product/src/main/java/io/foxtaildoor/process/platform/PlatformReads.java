package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Read access to the platform that reports failures as a {@link FoxtaildoorException}. */
public final class PlatformReads {
  private final PlatformClient platform;
  private final Executor executor;

  /**
   * Creates a read view whose futures complete on an executor instead of the platform client's
   * event loop.
   */
  public PlatformReads(PlatformClient platform, Executor executor) {
    this.platform = platform;
    this.executor = executor;
  }

  /**
   * Reads a key. For an absent key the result is an entry that does not exist. The future fails
   * with {@link ErrorKind#PLATFORM_UNAVAILABLE} if the platform does not respond.
   */
  public CompletableFuture<PlatformEntry> get(String key) {
    return platform.get(key).thenApplyAsync(result -> requireEntry(key, result), executor);
  }

  private static PlatformEntry requireEntry(String key, PlatformResult<PlatformEntry> result) {
    if (result instanceof PlatformResult.Done<PlatformEntry> done) {
      return done.value();
    }
    throw new FoxtaildoorException(
        ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not respond to a read of " + key);
  }
}
