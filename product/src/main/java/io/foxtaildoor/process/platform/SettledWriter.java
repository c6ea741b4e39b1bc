package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Writes a key once and settles a write whose answer was lost by reading the key back.
 *
 * <p>While the key still has the expected revision, the same bytes are written again under the same
 * condition: of that write and a late arrival of the first one, the platform applies at most one.
 */
public final class SettledWriter {
  /** Wait before the first reading back; it doubles each time. */
  private static final Duration FIRST_WAIT = Duration.ofMillis(100);

  /** Waits of 100 ms to 1.6 s, about 3 s in all besides the calls themselves. */
  private static final int MAX_ROUNDS = 6;

  /** What became of a write. */
  public sealed interface Outcome {
    /** The write took effect, perhaps before others. */
    record Written(PlatformEntry entry) implements Outcome {}

    /** The write did not and will not take effect, since the key has changed. */
    record Superseded(PlatformEntry present) implements Outcome {}
  }

  private final PlatformClient platform;
  private final TaskScheduler scheduler;

  /** Creates a writer that waits with a scheduler between readings. */
  public SettledWriter(PlatformClient platform, TaskScheduler scheduler) {
    this.platform = platform;
    this.scheduler = scheduler;
  }

  /**
   * Writes a key if it has the expected revision. The future fails with a {@link
   * FoxtaildoorException} of kind {@link ErrorKind#PLATFORM_UNAVAILABLE} when nothing was written,
   * or {@link ErrorKind#PLATFORM_OUTCOME_UNKNOWN} when that could not be found out in time.
   *
   * @param holdsWrite whether a later entry shows that this write took effect, by its write id
   */
  public CompletableFuture<Outcome> write(
      String key, long expectedRevision, byte[] value, Predicate<PlatformEntry> holdsWrite) {
    return new Write(key, expectedRevision, value, holdsWrite).send(0);
  }

  private final class Write {
    private final String key;
    private final long expectedRevision;
    private final byte[] value;
    private final Predicate<PlatformEntry> holdsWrite;

    private Write(
        String key, long expectedRevision, byte[] value, Predicate<PlatformEntry> holdsWrite) {
      this.key = key;
      this.expectedRevision = expectedRevision;
      this.value = value;
      this.holdsWrite = holdsWrite;
    }

    private CompletableFuture<Outcome> send(int round) {
      return platform
          .compareAndSet(key, expectedRevision, value)
          .thenCompose(result -> sent(result, round));
    }

    private CompletableFuture<Outcome> sent(PlatformResult<PlatformEntry> result, int round) {
      if (result instanceof PlatformResult.Done<PlatformEntry> done) {
        return CompletableFuture.completedFuture(new Outcome.Written(done.value()));
      }
      if (result instanceof PlatformResult.Conflict<PlatformEntry> conflict) {
        return CompletableFuture.completedFuture(judge(conflict.present()));
      }
      if (result instanceof PlatformResult.Unavailable<PlatformEntry> unavailable && round == 0) {
        return failed(ErrorKind.PLATFORM_UNAVAILABLE, unavailable.reason());
      }
      return settleLater(round);
    }

    private CompletableFuture<Outcome> settleLater(int round) {
      if (round >= MAX_ROUNDS) {
        return failed(
            ErrorKind.PLATFORM_OUTCOME_UNKNOWN,
            "the answer to a write of " + key + " was lost and reading it back failed");
      }
      Duration wait = FIRST_WAIT.multipliedBy(1L << Math.min(round, 4));
      return scheduler.delay(wait).thenCompose(nothing -> settle(round + 1));
    }

    private CompletableFuture<Outcome> settle(int round) {
      return platform
          .get(key)
          .thenCompose(
              result -> {
                if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
                  return settleLater(round);
                }
                return done.value().revision() == expectedRevision
                    ? send(round)
                    : CompletableFuture.completedFuture(judge(done.value()));
              });
    }

    private Outcome judge(PlatformEntry present) {
      return holdsWrite.test(present)
          ? new Outcome.Written(present)
          : new Outcome.Superseded(present);
    }

    private CompletableFuture<Outcome> failed(ErrorKind kind, String message) {
      return CompletableFuture.failedFuture(new FoxtaildoorException(kind, message));
    }
  }
}
