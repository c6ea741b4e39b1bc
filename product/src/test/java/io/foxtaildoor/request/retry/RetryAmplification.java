package io.foxtaildoor.request.retry;

import io.foxtaildoor.common.ErrorKind;
import java.util.Locale;

/**
 * Calculates how many calls the deepest of a chain of services gets for one request from outside.
 *
 * <p>Every layer fails with the same share. A failure with an unknown outcome has run and called
 * the layers below; a refusal as not run has not. The budget is taken as never used up, so the
 * figures are upper bounds.
 */
public final class RetryAmplification {
  private static final int DEPTH = 27;
  private static final long REMAINING_NANOS = 1_000_000_000;

  private RetryAmplification() {}

  /** Prints the table. */
  public static void main(String[] args) {
    RetryPolicy policy = new RetryPolicy(RetrySettings.defaults());
    RetryDecider product = failure -> policy.decide(failure, () -> true).isRetry();
    RetryDecider each = failure -> failure.attempt() < RetrySettings.defaults().maxAttempts();
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
              runs(each, unknown, notRun));
        }
      }
    }
  }

  /** Runs of the deepest layer for one request; each run of a layer makes one call below. */
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

  /** A policy to compare. */
  @FunctionalInterface
  interface RetryDecider {
    boolean isRetry(FailedAttempt failure);
  }
}
