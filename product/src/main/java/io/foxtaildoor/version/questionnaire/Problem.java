package io.foxtaildoor.version.questionnaire;

/**
 * One fault of a questionnaire.
 *
 * @param path place in the document, for example {@code services[0].callers[1]}; empty for the
 *     whole document
 * @param line line number from 1; {@value #NO_LINE} when the fault has no place in the text
 * @param message what is wrong and what is allowed, for people
 */
public record Problem(ProblemKind kind, String path, int line, String message) {
  /** Stands for no line. */
  public static final int NO_LINE = 0;

  @Override
  public String toString() {
    String place = line == NO_LINE ? "" : "line " + line + ": ";
    String subject = path.isEmpty() ? "" : path + ": ";
    return place + subject + message;
  }
}
