package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Writes a key at most once. If the response to a write is lost, it determines the outcome by
 * reading the key back.
 *
 * <p>While the key still has the expected revision, the same value is written again under the same
 * condition. If the first write arrives late, the platform applies at most one of the two.
 */
public final class ReconcilingWriter {
  /** Delay before the first read-back; it doubles with each round up to 1.6 s. */
  private static final Duration INITIAL_DELAY = Duration.ofMillis(100);

  /**
   * Maximum number of read-back rounds. Their delays, 100 ms to 1.6 s, add up to 4.7 s, not
   * counting the calls.
   */
  private static final int MAX_ROUNDS = 6;

  /** Outcome of a write. */
  public sealed interface Outcome {
    /** The write took effect; later writes may already have followed it. */
    record Written(PlatformEntry entry) implements Outcome {}

    /** The write has not taken effect and cannot do so any more, because the key has changed. */
    record Superseded(PlatformEntry present) implements Outcome {}
  }

  private final PlatformClient platform;
  private final TaskScheduler scheduler;

  /** Creates a writer that schedules its delays between read-backs on a scheduler. */
  public ReconcilingWriter(PlatformClient platform, TaskScheduler scheduler) {
    this.platform = platform;
    this.scheduler = scheduler;
  }

  /**
   * Writes a key if it has the expected revision. The future fails with a {@link
   * FoxtaildoorException} of kind {@link ErrorKind#PLATFORM_UNAVAILABLE} if nothing was written, or
   * {@link ErrorKind#PLATFORM_OUTCOME_UNKNOWN} if the outcome could not be determined in time.
   *
   * @param containsWrite tests whether a later entry contains this write, by its write id
   */
  public CompletableFuture<Outcome> write(
      String key, long expectedRevision, byte[] value, Predicate<PlatformEntry> containsWrite) {
    return new PendingWrite(key, expectedRevision, value, containsWrite).attempt(0);
  }

  private final class PendingWrite {
    private final String key;
    private final long expectedRevision;
    private final byte[] value;
    private final Predicate<PlatformEntry> containsWrite;

    private PendingWrite(
        String key, long expectedRevision, byte[] value, Predicate<PlatformEntry> containsWrite) {
      this.key = key;
      this.expectedRevision = expectedRevision;
      this.value = value;
      this.containsWrite = containsWrite;
    }

    private CompletableFuture<Outcome> attempt(int round) {
      return platform
          .compareAndSet(key, expectedRevision, value)
          .thenCompose(result -> onWriteResult(result, round));
    }

    private CompletableFuture<Outcome> onWriteResult(
        PlatformResult<PlatformEntry> result, int round) {
      if (result instanceof PlatformResult.Done<PlatformEntry> done) {
        return CompletableFuture.completedFuture(new Outcome.Written(done.value()));
      }
      if (result instanceof PlatformResult.Conflict<PlatformEntry> conflict) {
        return CompletableFuture.completedFuture(determineOutcome(conflict.present()));
      }
      if (result instanceof PlatformResult.Unavailable<PlatformEntry> unavailable && round == 0) {
        return failed(ErrorKind.PLATFORM_UNAVAILABLE, unavailable.reason());
      }
      return scheduleReadBack(round);
    }

    private CompletableFuture<Outcome> scheduleReadBack(int round) {
      if (round >= MAX_ROUNDS) {
        return failed(
            ErrorKind.PLATFORM_OUTCOME_UNKNOWN,
            "the response to a write of " + key + " was lost and reading the key back failed");
      }
      Duration wait = INITIAL_DELAY.multipliedBy(1L << Math.min(round, 4));
      return scheduler.delay(wait).thenCompose(unused -> readBack(round + 1));
    }

    private CompletableFuture<Outcome> readBack(int round) {
      return platform
          .get(key)
          .thenCompose(
              result -> {
                if (!(result instanceof PlatformResult.Done<PlatformEntry> done)) {
                  return scheduleReadBack(round);
                }
                return done.value().revision() == expectedRevision
                    ? attempt(round)
                    : CompletableFuture.completedFuture(determineOutcome(done.value()));
              });
    }

    private Outcome determineOutcome(PlatformEntry present) {
      return containsWrite.test(present)
          ? new Outcome.Written(present)
          : new Outcome.Superseded(present);
    }

    private CompletableFuture<Outcome> failed(ErrorKind kind, String message) {
      return CompletableFuture.failedFuture(new FoxtaildoorException(kind, message));
    }
  }
}
