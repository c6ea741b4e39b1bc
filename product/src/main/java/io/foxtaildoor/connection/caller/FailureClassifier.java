package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.balance.AttemptResult;

/**
 * Maps the failure of an attempt to the error that the caller gets and to the result that the
 * selection of instances uses.
 */
final class FailureClassifier {
  private static final int INTERNAL_ERROR = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private FailureClassifier() {}

  /**
   * Parses the kind of a failure. An unknown name comes from a newer or faulty node and counts as a
   * protocol violation.
   */
  static ErrorKind errorKind(StreamFailure failure) {
    try {
      return ErrorKind.valueOf(failure.getKind());
    } catch (IllegalArgumentException e) {
      return ErrorKind.PROTOCOL_VIOLATION;
    }
  }

  /**
   * Returns the kind that is reported to the caller. A kind that guarantees "not run" must not be
   * reported when an earlier attempt may have run.
   */
  static ErrorKind reportedKind(ErrorKind kind, boolean notRun) {
    boolean impliesNotRun = kind.outcome() == Outcome.NOT_RUN && kind != ErrorKind.INVALID_INPUT;
    return impliesNotRun && !notRun ? ErrorKind.OUTCOME_UNKNOWN : kind;
  }

  /**
   * Returns the outcome that is reported to the caller.
   *
   * @param notRun whether no attempt of the request can have run
   */
  static Outcome reportedOutcome(ErrorKind kind, boolean notRun) {
    if (kind == ErrorKind.DUPLICATE) {
      // This duplicate did not run, but the earlier request with the same idempotency key may have.
      return Outcome.UNKNOWN;
    }
    return notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }

  /** Returns the result of a failed attempt for its instance. */
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

  /** Returns the result for the instance that completed a response with the given status. */
  static AttemptResult attemptResult(int status) {
    boolean failed =
        status == INTERNAL_ERROR || (status >= BAD_GATEWAY && status <= GATEWAY_TIMEOUT);
    return failed ? AttemptResult.FAILED : AttemptResult.ANSWERED;
  }
}
