package io.foxtaildoor.version.questionnaire;

import java.util.HashMap;
import java.util.Map;

/** Line numbers of the values of a document by their paths. */
public final class LineNumbers {
  /** Places of a document without text. */
  public static final LineNumbers NONE = new LineNumbers(Map.of());

  private final Map<String, Integer> lines;

  private LineNumbers(Map<String, Integer> lines) {
    this.lines = lines;
  }

  static LineNumbers of(YamlNode root) {
    Map<String, Integer> lines = new HashMap<>();
    collect("", root, lines);
    return new LineNumbers(lines);
  }

  private static void collect(String path, YamlNode node, Map<String, Integer> lines) {
    lines.putIfAbsent(path, node.line());
    if (node instanceof YamlNode.Mapping mapping) {
      for (YamlNode.Entry entry : mapping.entries()) {
        String childPath = ProblemTexts.childPath(path, entry.key());
        lines.putIfAbsent(childPath, entry.line());
        collect(childPath, entry.value(), lines);
      }
    } else if (node instanceof YamlNode.Sequence sequence) {
      for (int i = 0; i < sequence.items().size(); i++) {
        collect(ProblemTexts.itemPath(path, i), sequence.items().get(i), lines);
      }
    }
  }

  /** The line of a path, or {@link Problem#NO_LINE}. */
  public int lineOf(String path) {
    return lines.getOrDefault(path, Problem.NO_LINE);
  }
}
