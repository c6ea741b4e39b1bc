package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.version.questionnaire.YamlNode.Entry;
import io.foxtaildoor.version.questionnaire.YamlNode.Mapping;
import io.foxtaildoor.version.questionnaire.YamlNode.Scalar;
import io.foxtaildoor.version.questionnaire.YamlNode.ScalarType;
import io.foxtaildoor.version.questionnaire.YamlNode.Sequence;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Reads the values of one YAML mapping by key. A faulty value adds a problem and yields an empty
 * result, so that reading continues with the next key and all faults are reported at once.
 */
final class FieldReader {
  /**
   * Converts a YAML node to a value. If the node is not valid, adds a problem and returns empty.
   *
   * @param <T> type of the value
   */
  @FunctionalInterface
  interface ValueReader<T> {
    Optional<T> read(YamlNode node, String path, ProblemList problems);
  }

  private final String path;
  private final int line;
  private final ProblemList problems;
  private final Map<String, YamlNode> values;

  private FieldReader(String path, int line, ProblemList problems, Map<String, YamlNode> values) {
    this.path = path;
    this.line = line;
    this.problems = problems;
    this.values = values;
  }

  /**
   * Creates a reader for a mapping and reports unknown and duplicate keys. Returns empty if the
   * node is not a mapping.
   */
  static Optional<FieldReader> open(
      YamlNode node, String path, Set<String> allowedKeys, ProblemList problems) {
    if (!(node instanceof Mapping mapping)) {
      reportWrongType(node, path, "a mapping", problems);
      return Optional.empty();
    }
    Map<String, YamlNode> values = new HashMap<>();
    for (Entry entry : mapping.entries()) {
      String childPath = ProblemTexts.childPath(path, entry.key());
      if (!allowedKeys.contains(entry.key())) {
        String message = "unknown key; allowed are " + new TreeSet<>(allowedKeys);
        problems.add(ProblemKind.UNKNOWN_KEY, childPath, entry.line(), message);
      } else if (values.putIfAbsent(entry.key(), entry.value()) != null) {
        problems.add(ProblemKind.DUPLICATE_KEY, childPath, entry.line(), "the key occurs twice");
      }
    }
    return Optional.of(new FieldReader(path, mapping.line(), problems, values));
  }

  static void reportWrongType(YamlNode node, String path, String expected, ProblemList problems) {
    String message = "must be " + expected + ", not " + node.typeName();
    problems.add(ProblemKind.WRONG_TYPE, path, node, message);
  }

  /** Returns the path of a key in this mapping. */
  String pathOf(String key) {
    return ProblemTexts.childPath(path, key);
  }

  /** Returns the line of a key's value, or of the mapping if the key is absent. */
  int lineOf(String key) {
    YamlNode node = values.get(key);
    return node == null ? line : node.line();
  }

  /**
   * Returns the line of an element in a key's list, or the line of the key's value if it is not a
   * list or has no such element.
   */
  int lineOfItem(String key, int index) {
    if (values.get(key) instanceof Sequence sequence && index < sequence.items().size()) {
      return sequence.items().get(index).line();
    }
    return lineOf(key);
  }

  /** Reads the value of a required key. */
  <T> Optional<T> required(String key, ValueReader<T> reader) {
    YamlNode node = values.get(key);
    if (node == null) {
      problems.add(ProblemKind.MISSING_KEY, pathOf(key), line, "the key is required");
      return Optional.empty();
    }
    return reader.read(node, pathOf(key), problems);
  }

  /** Reads the value of an optional key, which has a default. */
  <T> Optional<T> optional(String key, T defaultValue, ValueReader<T> reader) {
    YamlNode node = values.get(key);
    return node == null ? Optional.of(defaultValue) : reader.read(node, pathOf(key), problems);
  }

  /**
   * Returns a reader for a list with a maximum number of elements. Elements with problems are left
   * out of the result.
   */
  static <T> ValueReader<List<T>> listReader(int maxElements, ValueReader<T> elementReader) {
    return (node, path, problems) -> {
      if (!(node instanceof Sequence sequence)) {
        reportWrongType(node, path, "a list", problems);
        return Optional.empty();
      }
      if (sequence.items().size() > maxElements) {
        problems.add(ProblemKind.TOO_LARGE, path, node, "more than " + maxElements + " elements");
        return Optional.empty();
      }
      List<T> elements = new ArrayList<>();
      for (int i = 0; i < sequence.items().size(); i++) {
        elementReader
            .read(sequence.items().get(i), ProblemTexts.itemPath(path, i), problems)
            .ifPresent(elements::add);
      }
      return Optional.of(elements);
    };
  }

  /**
   * Returns a reader for a scalar of a type.
   *
   * @param expected description of the expected value, for the message when the type is wrong
   * @param parser converts the scalar's text, or reports a problem and returns empty
   */
  static <T> ValueReader<T> scalarReader(
      ScalarType type, String expected, BiFunction<String, Reporter, Optional<T>> parser) {
    return (node, path, problems) -> {
      if (node instanceof Scalar scalar && scalar.type() == type) {
        return parser.apply(
            scalar.text(), (kind, message) -> problems.add(kind, path, node, message));
      }
      reportWrongType(node, path, expected, problems);
      return Optional.empty();
    };
  }

  /** Reports a problem at the path and line of the value being read. */
  @FunctionalInterface
  interface Reporter {
    void report(ProblemKind kind, String message);

    /** Reports a problem and returns empty. */
    default <T> Optional<T> reject(ProblemKind kind, String message) {
      report(kind, message);
      return Optional.empty();
    }
  }
}
