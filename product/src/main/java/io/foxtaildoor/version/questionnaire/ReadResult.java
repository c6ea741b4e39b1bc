package io.foxtaildoor.version.questionnaire;

import java.util.List;

/** What became of reading a questionnaire. */
public sealed interface ReadResult {
  /** The document is valid by itself. */
  record Valid(Questionnaire questionnaire, LineNumbers lineNumbers) implements ReadResult {}

  /** The document has problems, all of them, in the order of lines. */
  record Invalid(List<Problem> problems) implements ReadResult {}
}
