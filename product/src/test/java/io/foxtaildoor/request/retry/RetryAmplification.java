package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;
import java.util.Locale;

/**
 * Calculates how many calls the last service of a call chain gets for one request from outside the
 * mesh.
 *
 * <p>Every service of the chain fails with the same probability. A request with an unknown outcome
 * was run and called the next service; a request refused without being run was not. The retry
 * budget is assumed to be unlimited, so the figures are upper bounds.
 */
public final class RetryAmplification {
  private static final int DEPTH = 27;
  private static final long REMAINING_NANOS = 1_000_000_000;

  private RetryAmplification() {}

  /** Prints the table of results. */
  public static void main(String[] args) {
    RetryPolicy policy = new RetryPolicy(RetrySettings.defaults());
    RetryDecider product = failure -> policy.decide(failure, () -> true).isRetry();
    RetryDecider everyLayer = failure -> failure.attempt() < RetrySettings.defaults().maxAttempts();
    System.out.printf("%-8s %-8s %14s %14s%n", "unknown", "not run", "product", "each layer");
    double[] shares = {0.0, 0.01, 0.1, 0.5, 1.0};
    for (double unknown : shares) {
      for (double notRun : new double[] {0.0, 0.1, 0.5}) {
        if (unknown + notRun <= 1) {
          System.out.printf(
              Locale.ROOT,
              "%-8.2f %-8.2f %14.4g %14.4g%n",
              unknown,
              notRun,
              runs(product, unknown, notRun),
              runs(everyLayer, unknown, notRun));
        }
      }
    }
  }

  /** Runs of the last service for one request; each run of a service makes one call to the next. */
  static double runs(RetryDecider decider, double unknown, double notRun) {
    double runs = 1;
    for (int depth = 0; depth <= DEPTH; depth++) {
      runs *= runsOfOneCall(decider, depth, 1, unknown, notRun);
    }
    return runs;
  }

  private static double runsOfOneCall(
      RetryDecider decider, int depth, int attempt, double unknown, double notRun) {
    double runs = 1 - notRun;
    if (isRetried(decider, false, depth, attempt)) {
      runs += unknown * runsOfOneCall(decider, depth, attempt + 1, unknown, notRun);
    }
    if (isRetried(decider, true, depth, attempt)) {
      runs += notRun * runsOfOneCall(decider, depth, attempt + 1, unknown, notRun);
    }
    return runs;
  }

  private static boolean isRetried(RetryDecider decider, boolean notRun, int depth, int attempt) {
    ErrorKind kind = notRun ? ErrorKind.OVERLOADED : ErrorKind.OUTCOME_UNKNOWN;
    return decider.isRetry(
        new FailedAttempt(kind, notRun, true, depth, attempt, attempt, 0, REMAINING_NANOS, true));
  }

  /** Retry policy under comparison. */
  @FunctionalInterface
  interface RetryDecider {
    boolean isRetry(FailedAttempt failure);
  }
}
