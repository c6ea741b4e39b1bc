package io.foxtaildoor.version.questionnaire;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.foxtaildoor.version.questionnaire.YamlNode.Entry;
import io.foxtaildoor.version.questionnaire.YamlNode.Mapping;
import io.foxtaildoor.version.questionnaire.YamlNode.Scalar;
import io.foxtaildoor.version.questionnaire.YamlNode.ScalarType;
import io.foxtaildoor.version.questionnaire.YamlNode.Sequence;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yaml.snakeyaml.error.MarkedYAMLException;

/**
 * Parses YAML text to a tree of nodes with line numbers. Anchors, aliases, tags and additional
 * documents are reported as problems and aliases are not expanded, so that the tree is never larger
 * than the text.
 */
final class YamlTreeReader {
  /** Maximum nesting depth. A valid questionnaire needs four levels. */
  static final int MAX_DEPTH = 10;

  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final YAMLParser parser;
  private final int[] codePoints;
  private final ProblemList problems;

  private YamlTreeReader(YAMLParser parser, String text, ProblemList problems) {
    this.parser = parser;
    this.codePoints = text.codePoints().toArray();
    this.problems = problems;
  }

  /** Parses a text with a single document. If it is malformed, adds a problem and returns empty. */
  static Optional<YamlNode> read(String text, ProblemList problems) {
    try (YAMLParser parser = FACTORY.createParser(text)) {
      return new YamlTreeReader(parser, text, problems).readDocument();
    } catch (IOException | RuntimeException e) {
      // The YAML scanner throws unchecked exceptions for some malformed texts.
      problems.add(ProblemKind.SYNTAX, "", lineOf(e), syntaxErrorMessage(e));
    }
    return Optional.empty();
  }

  private static int lineOf(Exception e) {
    // Jackson's own location is that of the last token before the error.
    if (e.getCause() instanceof MarkedYAMLException marked && marked.getProblemMark() != null) {
      return marked.getProblemMark().getLine() + 1;
    }
    return e instanceof JacksonException jackson ? lineOf(jackson.getLocation()) : Problem.NO_LINE;
  }

  private static String syntaxErrorMessage(Exception e) {
    String message =
        e instanceof JacksonException jackson ? jackson.getOriginalMessage() : e.getMessage();
    if (e.getCause() instanceof MarkedYAMLException marked) {
      message = marked.getProblem();
    }
    String reason = message == null ? "" : ": " + message.lines().findFirst().orElse("");
    return "the document is not well-formed YAML" + ProblemTexts.toPrintable(reason);
  }

  private static int lineOf(JsonLocation location) {
    return location == null ? Problem.NO_LINE : Math.max(location.getLineNr(), Problem.NO_LINE);
  }

  private Optional<YamlNode> readDocument() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(ProblemKind.SYNTAX, "", 1, "the document is empty");
      return Optional.empty();
    }
    YamlNode root = readNode("", 0);
    if (parser.nextToken() != null) {
      problems.add(ProblemKind.SYNTAX, "", currentLine(), "only one YAML document is allowed");
    }
    return Optional.of(root);
  }

  private int currentLine() {
    return lineOf(parser.currentTokenLocation());
  }

  private YamlNode readNode(String path, int depth) throws IOException {
    rejectUnsupportedFeatures(path);
    int line = currentLine();
    JsonToken token = parser.currentToken();
    if (!token.isStructStart()) {
      return new Scalar(line, toScalarType(token), parser.getText());
    }
    if (depth >= MAX_DEPTH) {
      problems.add(ProblemKind.TOO_LARGE, path, line, "nested more than " + MAX_DEPTH + " levels");
      parser.skipChildren();
      return new Scalar(line, ScalarType.NULL, "");
    }
    return token == JsonToken.START_OBJECT
        ? readMapping(path, depth, line)
        : readSequence(path, depth, line);
  }

  private Mapping readMapping(String path, int depth, int line) throws IOException {
    List<Entry> entries = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      rejectUnsupportedFeatures(path);
      String key = parser.currentName();
      int keyLine = currentLine();
      parser.nextToken();
      entries.add(new Entry(keyLine, key, readNode(ProblemTexts.childPath(path, key), depth + 1)));
    }
    return new Mapping(line, entries);
  }

  private Sequence readSequence(String path, int depth, int line) throws IOException {
    List<YamlNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readNode(ProblemTexts.itemPath(path, items.size()), depth + 1));
    }
    return new Sequence(line, items);
  }

  private void rejectUnsupportedFeatures(String path) throws IOException {
    if (parser.isCurrentAlias()) {
      problems.add(ProblemKind.YAML_FEATURE, path, currentLine(), "aliases are not allowed");
    } else if (parser.getObjectId() != null || startsWithAnchor()) {
      problems.add(ProblemKind.YAML_FEATURE, path, currentLine(), "anchors are not allowed");
    }
    if (parser.getTypeId() != null) {
      problems.add(ProblemKind.YAML_FEATURE, path, currentLine(), "tags are not allowed");
    }
  }

  /** Returns whether the token starts with an anchor. The parser reports no anchors of scalars. */
  private boolean startsWithAnchor() {
    long offset = parser.currentTokenLocation().getCharOffset();
    return offset >= 0 && offset < codePoints.length && codePoints[(int) offset] == '&';
  }

  private static ScalarType toScalarType(JsonToken token) {
    return switch (token) {
      case VALUE_NUMBER_INT -> ScalarType.INTEGER;
      case VALUE_NUMBER_FLOAT -> ScalarType.DECIMAL;
      case VALUE_TRUE, VALUE_FALSE -> ScalarType.BOOLEAN;
      case VALUE_NULL -> ScalarType.NULL;
      default -> ScalarType.TEXT;
    };
  }
}
