package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;

/** Converts exceptions of futures to error kinds and {@link OperatorResult}s. */
final class Failures {
  private static final System.Logger LOG = System.getLogger(Failures.class.getName());

  private Failures() {}

  static Throwable unwrap(Throwable error) {
    Throwable cause = error;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  static ErrorKind kindOf(Throwable error) {
    return unwrap(error) instanceof FoxtaildoorException e ? e.kind() : ErrorKind.INTERNAL;
  }

  static <T> OperatorResult<T> toResult(Throwable error) {
    Throwable cause = unwrap(error);
    if (cause instanceof ProposalChecks.InvalidQuestionnaireException invalid) {
      return new OperatorResult.Invalid<>(invalid.problems());
    }
    if (cause instanceof FoxtaildoorException known) {
      return new OperatorResult.Failed<>(known.kind(), known.getMessage());
    }
    if (cause instanceof RejectedExecutionException) {
      return new OperatorResult.Failed<>(
          ErrorKind.OVERLOADED, "too many operator requests are waiting; try again");
    }
    LOG.log(System.Logger.Level.ERROR, "an operator's request failed unexpectedly", cause);
    return new OperatorResult.Failed<>(ErrorKind.INTERNAL, "the request failed; see the log");
  }
}
