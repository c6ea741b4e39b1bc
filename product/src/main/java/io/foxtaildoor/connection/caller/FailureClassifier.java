package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.balance.AttemptResult;

/** What a failure of an attempt means for the caller and for the selection of instances. */
final class FailureClassifier {
  private static final int INTERNAL_ERROR = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private FailureClassifier() {}

  /** Reads the kind of a failure; an unknown name comes from a newer or faulty node. */
  static ErrorKind errorKind(StreamFailure failure) {
    try {
      return ErrorKind.valueOf(failure.getKind());
    } catch (IllegalArgumentException e) {
      return ErrorKind.PROTOCOL_VIOLATION;
    }
  }

  /**
   * The kind that is told to the caller: a kind that impliesNotRun "not run" must not be told when
   * an earlier attempt may have run.
   */
  static ErrorKind reportedKind(ErrorKind kind, boolean notRun) {
    boolean impliesNotRun = kind.outcome() == Outcome.NOT_RUN && kind != ErrorKind.INVALID_INPUT;
    return impliesNotRun && !notRun ? ErrorKind.OUTCOME_UNKNOWN : kind;
  }

  /**
   * What the caller may conclude.
   *
   * @param notRun whether no attempt of the request can have run
   */
  static Outcome reportedOutcome(ErrorKind kind, boolean notRun) {
    if (kind == ErrorKind.DUPLICATE) {
      // This repeat did not run, but the request with the same key may have.
      return Outcome.UNKNOWN;
    }
    return notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }

  /** What a failed attempt says about its instance. */
  static AttemptResult attemptResult(ErrorKind kind) {
    return switch (kind) {
      case OVERLOADED -> AttemptResult.REFUSED;
      case LEAVING, NO_UPSTREAM, NOT_READY -> AttemptResult.ABSENT;
      case NODE_UNREACHABLE, UPSTREAM_UNREACHABLE -> AttemptResult.UNREACHABLE;
      case OUTCOME_UNKNOWN, TIMEOUT, BAD_UPSTREAM_ANSWER, PROTOCOL_VIOLATION, INTERNAL ->
          AttemptResult.FAILED;
      default -> AttemptResult.ABANDONED;
    };
  }

  /** What the status of a whole answer says about its instance. */
  static AttemptResult attemptResult(int status) {
    boolean failed =
        status == INTERNAL_ERROR || (status >= BAD_GATEWAY && status <= GATEWAY_TIMEOUT);
    return failed ? AttemptResult.FAILED : AttemptResult.ANSWERED;
  }
}
