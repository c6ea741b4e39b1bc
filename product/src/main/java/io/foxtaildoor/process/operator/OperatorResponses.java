package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Json;
import io.foxtaildoor.common.Problem;
import io.foxtaildoor.version.approval.OperatorResult;
import java.util.List;
import java.util.function.Function;

/** Converts results of the approval service to HTTP responses. */
final class OperatorResponses {
  private OperatorResponses() {}

  /** Problem document that lists the validation errors of a questionnaire. */
  private record InvalidAnswer(
      String type,
      String title,
      int status,
      String detail,
      String kind,
      List<QuestionnaireFault> problems) {}

  /** One validation error of a questionnaire. */
  private record QuestionnaireFault(String path, int line, String message) {}

  /** Problem document of a conflict, with the team's current state as another operator left it. */
  private record ConflictAnswer(
      String type, String title, int status, String detail, String kind, TeamAnswer present) {}

  /**
   * Returns a JSON response with the mapped value, or a problem document when the operation failed.
   */
  static <T> OperatorResponse of(OperatorResult<T> result, Function<T, ?> mapping) {
    if (result instanceof OperatorResult.Done<T> done) {
      return OperatorResponse.json(200, mapping.apply(done.value()));
    }
    if (result instanceof OperatorResult.Invalid<T> invalid) {
      return invalidResponse(invalid.problems());
    }
    if (result instanceof OperatorResult.Conflict<T> conflict) {
      return conflictResponse(conflict);
    }
    OperatorResult.Failed<T> failed = (OperatorResult.Failed<T>) result;
    return OperatorResponse.problem(failed.kind(), failed.message());
  }

  private static OperatorResponse invalidResponse(
      List<io.foxtaildoor.version.questionnaire.Problem> problems) {
    Problem problem =
        Problem.of(ErrorKind.BAD_CONFIGURATION, problems.size() + " problems in the questionnaire");
    List<QuestionnaireFault> faults =
        problems.stream()
            .map(fault -> new QuestionnaireFault(fault.path(), fault.line(), fault.message()))
            .toList();
    return problemResponse(
        problem.status(),
        new InvalidAnswer(
            problem.type(),
            problem.title(),
            problem.status(),
            problem.detail(),
            problem.kind(),
            faults));
  }

  private static <T> OperatorResponse conflictResponse(OperatorResult.Conflict<T> conflict) {
    Problem problem = Problem.of(ErrorKind.CONFLICT, conflict.message());
    return problemResponse(
        problem.status(),
        new ConflictAnswer(
            problem.type(),
            problem.title(),
            problem.status(),
            problem.detail(),
            problem.kind(),
            TeamAnswer.of(conflict.currentState())));
  }

  private static OperatorResponse problemResponse(int status, Object document) {
    return new OperatorResponse(status, Problem.CONTENT_TYPE, Json.bytes(document));
  }
}
