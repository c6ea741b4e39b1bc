package io.foxtaildoor.version.generation;

import java.util.ArrayList;
import java.util.List;

/** Computes the line-by-line difference of two texts in the unified diff format. */
public final class UnifiedDiff {
  /** Number of unchanged lines shown before and after each change. */
  private static final int CONTEXT_LINES = 3;

  /**
   * Maximum size of the table for the longest common subsequence, in cells of 4 bytes. If two texts
   * need a larger table, everything from the first to the last differing line is shown as replaced.
   */
  private static final long MAX_TABLE_CELLS = 4_000_000;

  private enum Kind {
    SAME(' '),
    REMOVED('-'),
    ADDED('+');

    private final char linePrefix;

    Kind(char linePrefix) {
      this.linePrefix = linePrefix;
    }
  }

  private record Line(Kind kind, String text) {}

  private UnifiedDiff() {}

  /** Returns the unified diff of two texts, or an empty string if their lines are equal. */
  public static String between(String beforeName, String before, String afterName, String after) {
    List<Line> lines = diffLines(before.lines().toList(), after.lines().toList());
    if (lines.stream().allMatch(line -> line.kind() == Kind.SAME)) {
      return "";
    }
    StringBuilder out = new StringBuilder();
    out.append("--- ").append(beforeName).append("\n+++ ").append(afterName).append('\n');
    appendHunks(lines, out);
    return out.toString();
  }

  private static List<Line> diffLines(List<String> before, List<String> after) {
    int prefix = 0;
    int shorter = Math.min(before.size(), after.size());
    while (prefix < shorter && before.get(prefix).equals(after.get(prefix))) {
      prefix++;
    }
    int suffix = 0;
    while (suffix < shorter - prefix
        && before.get(before.size() - 1 - suffix).equals(after.get(after.size() - 1 - suffix))) {
      suffix++;
    }
    List<Line> lines = new ArrayList<>();
    before.subList(0, prefix).forEach(text -> lines.add(new Line(Kind.SAME, text)));
    diffMiddle(
        before.subList(prefix, before.size() - suffix),
        after.subList(prefix, after.size() - suffix),
        lines);
    before
        .subList(before.size() - suffix, before.size())
        .forEach(text -> lines.add(new Line(Kind.SAME, text)));
    return lines;
  }

  private static void diffMiddle(List<String> before, List<String> after, List<Line> lines) {
    int i = 0;
    int j = 0;
    if ((before.size() + 1L) * (after.size() + 1L) <= MAX_TABLE_CELLS) {
      int[][] common = commonSubsequenceLengths(before, after);
      while (i < before.size() && j < after.size()) {
        if (before.get(i).equals(after.get(j))) {
          lines.add(new Line(Kind.SAME, before.get(i)));
          i++;
          j++;
        } else if (common[i + 1][j] >= common[i][j + 1]) {
          lines.add(new Line(Kind.REMOVED, before.get(i++)));
        } else {
          lines.add(new Line(Kind.ADDED, after.get(j++)));
        }
      }
    }
    before.subList(i, before.size()).forEach(text -> lines.add(new Line(Kind.REMOVED, text)));
    after.subList(j, after.size()).forEach(text -> lines.add(new Line(Kind.ADDED, text)));
  }

  /**
   * Computes the length of the longest common subsequence for each pair of suffixes: element {@code
   * [i][j]} belongs to the lines of {@code before} from {@code i} and of {@code after} from {@code
   * j}.
   */
  private static int[][] commonSubsequenceLengths(List<String> before, List<String> after) {
    int[][] common = new int[before.size() + 1][after.size() + 1];
    for (int i = before.size() - 1; i >= 0; i--) {
      for (int j = after.size() - 1; j >= 0; j--) {
        common[i][j] =
            before.get(i).equals(after.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    return common;
  }

  private static void appendHunks(List<Line> lines, StringBuilder out) {
    int beforeLine = 1;
    int afterLine = 1;
    int index = 0;
    while (index < lines.size()) {
      int end = hunkEnd(lines, index);
      if (end < 0) {
        Kind kind = lines.get(index).kind();
        beforeLine += kind == Kind.ADDED ? 0 : 1;
        afterLine += kind == Kind.REMOVED ? 0 : 1;
        index++;
        continue;
      }
      List<Line> hunk = lines.subList(index, end);
      int beforeCount = countExcept(hunk, Kind.ADDED);
      int afterCount = countExcept(hunk, Kind.REMOVED);
      out.append("@@ -").append(formatRange(beforeLine, beforeCount));
      out.append(" +").append(formatRange(afterLine, afterCount)).append(" @@\n");
      hunk.forEach(line -> out.append(line.kind().linePrefix).append(line.text()).append('\n'));
      beforeLine += beforeCount;
      afterLine += afterCount;
      index = end;
    }
  }

  /** Returns the exclusive end of the hunk that starts at a line, or -1 if no hunk starts there. */
  private static int hunkEnd(List<Line> lines, int start) {
    int end = -1;
    int lastContextLine = start + CONTEXT_LINES;
    for (int i = start; i < lines.size() && i <= lastContextLine; i++) {
      if (lines.get(i).kind() != Kind.SAME) {
        end = Math.min(lines.size(), i + 1 + CONTEXT_LINES);
        lastContextLine = i + 2 * CONTEXT_LINES + 1;
      }
    }
    return end;
  }

  /** Counts the lines that have any kind other than the excluded one. */
  private static int countExcept(List<Line> lines, Kind excluded) {
    return (int) lines.stream().filter(line -> line.kind() != excluded).count();
  }

  private static String formatRange(int first, int count) {
    return (count == 0 ? first - 1 : first) + "," + count;
  }
}
