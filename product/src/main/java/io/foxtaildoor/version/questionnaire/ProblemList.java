package io.foxtaildoor.version.questionnaire;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects problems up to a maximum number and counts those beyond it. */
final class ProblemList {
  /**
   * Maximum number of collected problems. It limits the size of the response to a malicious
   * document; real documents have far fewer problems.
   */
  static final int MAX_PROBLEMS = 1_000;

  private final List<Problem> problems = new ArrayList<>();
  private int omittedCount;

  void add(ProblemKind kind, String path, int line, String message) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new Problem(kind, path, line, message));
    } else {
      omittedCount++;
    }
  }

  void add(ProblemKind kind, String path, YamlNode node, String message) {
    add(kind, path, node.line(), message);
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  /**
   * Returns the problems ordered by line, followed by the number of omitted ones if there are any.
   */
  List<Problem> toList() {
    List<Problem> sorted = new ArrayList<>(problems);
    sorted.sort(Comparator.comparingInt(Problem::line));
    if (omittedCount > 0) {
      String message = omittedCount + " more problems are left out";
      sorted.add(new Problem(ProblemKind.TOO_LARGE, "", Problem.NO_LINE, message));
    }
    return List.copyOf(sorted);
  }
}
