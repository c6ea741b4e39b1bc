package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.version.questionnaire.Problem;
import java.util.List;

/**
 * Typed result of an operator's request.
 *
 * @param <T> what a successful request gives
 */
public sealed interface OperatorResult<T> {
  /** The request succeeded. */
  record Done<T>(T value) implements OperatorResult<T> {}

  /** The questionnaire has problems; nothing changed. Belongs to {@code BAD_CONFIGURATION}. */
  record Invalid<T>(List<Problem> problems) implements OperatorResult<T> {}

  /** Another operator changed the team first; nothing changed. Belongs to {@code CONFLICT}. */
  record Conflict<T>(TeamState currentState, String message) implements OperatorResult<T> {}

  /** The request failed. Only {@code PLATFORM_OUTCOME_UNKNOWN} may have changed something. */
  record Failed<T>(ErrorKind kind, String message) implements OperatorResult<T> {}

  /** The kind of error, for the status of the response; null when done. */
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
