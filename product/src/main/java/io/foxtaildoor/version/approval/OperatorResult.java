package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.version.questionnaire.Problem;
import java.util.List;

/**
 * Result of an operator's request.
 *
 * @param <T> the type of the value returned by a successful request
 */
public sealed interface OperatorResult<T> {
  /** The request succeeded. */
  record Done<T>(T value) implements OperatorResult<T> {}

  /** The questionnaire has problems; nothing changed. Reported as {@code BAD_CONFIGURATION}. */
  record Invalid<T>(List<Problem> problems) implements OperatorResult<T> {}

  /**
   * The team's state differs from the one expected; nothing changed. Reported as {@code CONFLICT}.
   */
  record Conflict<T>(TeamState currentState, String message) implements OperatorResult<T> {}

  /** The request failed. State can have changed only for {@code PLATFORM_OUTCOME_UNKNOWN}. */
  record Failed<T>(ErrorKind kind, String message) implements OperatorResult<T> {}

  /** Returns the kind of error, which determines the response status, or null on success. */
  default ErrorKind errorKind() {
    if (this instanceof Invalid) {
      return ErrorKind.BAD_CONFIGURATION;
    }
    if (this instanceof Conflict) {
      return ErrorKind.CONFLICT;
    }
    return this instanceof Failed<T> failed ? failed.kind() : null;
  }
}
