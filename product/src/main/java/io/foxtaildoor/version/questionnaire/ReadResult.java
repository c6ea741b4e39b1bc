package io.foxtaildoor.version.questionnaire;

import java.util.List;

/** Result of reading a questionnaire. */
public sealed interface ReadResult {
  /** The document is valid by itself; it has not been checked against other teams yet. */
  record Valid(Questionnaire questionnaire, LineNumbers lineNumbers) implements ReadResult {}

  /** The document is invalid; the problems are ordered by line. */
  record Invalid(List<Problem> problems) implements ReadResult {}
}
