package io.foxtaildoor.version.questionnaire;

import java.util.HashMap;
import java.util.Map;

/** Line numbers of a document's values by their paths. */
public final class LineNumbers {
  /** Line numbers of a configuration that has no document text; every lookup finds no line. */
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

  /** Returns the line of the value at a path, or {@link Problem#NO_LINE} if it is unknown. */
  public int lineOf(String path) {
    return lines.getOrDefault(path, Problem.NO_LINE);
  }
}
