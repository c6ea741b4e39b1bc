package io.foxtaildoor.version.questionnaire;

/**
 * One problem found in a questionnaire.
 *
 * @param path path of the value in the document, for example {@code services[0].callers[1]}; empty
 *     for the whole document
 * @param line line number, starting at 1; {@value #NO_LINE} if the problem belongs to no line
 * @param message human-readable text that says what is wrong and what is allowed
 */
public record Problem(ProblemKind kind, String path, int line, String message) {
  /** Value of {@code line} for a problem without a line. */
  public static final int NO_LINE = 0;

  @Override
  public String toString() {
    String place = line == NO_LINE ? "" : "line " + line + ": ";
    String subject = path.isEmpty() ? "" : path + ": ";
    return place + subject + message;
  }
}
