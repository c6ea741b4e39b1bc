package io.foxtaildoor.common.yaml;

import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.AliasEvent;
import org.yaml.snakeyaml.events.CollectionEndEvent;
import org.yaml.snakeyaml.events.CollectionStartEvent;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Reads one YAML document of limited size; rejects aliases and duplicate keys. */
public final class YamlReader {
  private static final int MAX_DEPTH = 20;

  private final List<DocumentProblem> problems;

  private YamlReader(List<DocumentProblem> problems) {
    this.problems = problems;
  }

  /**
   * Reads a document.
   *
   * @param problems list to which every error found is added
   * @return the mapping at the root; empty when the document cannot be read at all
   */
  public static Optional<YamlValue.Mapping> read(
      byte[] document, int maxBytes, List<DocumentProblem> problems) {
    return new YamlReader(problems).read(document, maxBytes);
  }

  private Optional<YamlValue.Mapping> read(byte[] document, int maxBytes) {
    if (document.length > maxBytes) {
      return fail(1, "the document has " + document.length + " bytes, at most " + maxBytes);
    }
    try {
      String text =
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(document)).toString();
      return readRoot(text, options(maxBytes));
    } catch (CharacterCodingException e) {
      return fail(1, "the document is not UTF-8");
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
      return fail(line, "malformed YAML: " + e.getProblem());
    } catch (YAMLException e) {
      return fail(1, "malformed YAML: " + e.getMessage());
    }
  }

  private static LoaderOptions options(int maxBytes) {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(maxBytes);
    options.setNestingDepthLimit(MAX_DEPTH);
    return options;
  }

  private Optional<YamlValue.Mapping> readRoot(String text, LoaderOptions options) {
    Yaml yaml = new Yaml(options);
    int depth = 0;
    for (Event event : yaml.parse(new StringReader(text))) {
      int line = event.getStartMark().getLine() + 1;
      if (event instanceof AliasEvent) {
        return fail(line, "aliases are not supported");
      }
      depth += event instanceof CollectionStartEvent ? 1 : 0;
      depth -= event instanceof CollectionEndEvent ? 1 : 0;
      if (depth > MAX_DEPTH) {
        // The time of the scanner grows with the square of the nesting depth, so parsing stops
        // before the end of the text.
        return fail(line, "nested more than " + MAX_DEPTH + " levels");
      }
    }
    Node root = yaml.compose(new StringReader(text));
    if (root == null) {
      return fail(1, "the document is empty");
    }
    if (root instanceof MappingNode mapping) {
      return Optional.of(mapping("", mapping));
    }
    return fail(line(root), "the document must be a mapping");
  }

  private Optional<YamlValue.Mapping> fail(int line, String message) {
    problems.add(new DocumentProblem("", line, message));
    return Optional.empty();
  }

  private YamlValue value(String path, Node node) {
    if (node instanceof MappingNode mapping) {
      return mapping(path, mapping);
    }
    if (node instanceof SequenceNode sequence) {
      return sequence(path, sequence);
    }
    return new YamlValue.Scalar(((ScalarNode) node).getValue(), line(node));
  }

  private YamlValue.Sequence sequence(String path, SequenceNode node) {
    List<YamlValue> values = new ArrayList<>();
    for (Node element : node.getValue()) {
      values.add(value(path + "[" + values.size() + "]", element));
    }
    return new YamlValue.Sequence(values, line(node));
  }

  private YamlValue.Mapping mapping(String path, MappingNode node) {
    Map<String, YamlValue> values = new LinkedHashMap<>();
    for (NodeTuple tuple : node.getValue()) {
      addEntry(path, tuple, values);
    }
    return new YamlValue.Mapping(values, line(node));
  }

  private void addEntry(String path, NodeTuple tuple, Map<String, YamlValue> values) {
    if (!(tuple.getKeyNode() instanceof ScalarNode keyNode)) {
      problems.add(new DocumentProblem(path, line(tuple.getKeyNode()), "a key must be a text"));
      return;
    }
    String key = keyNode.getValue();
    String keyPath = path.isEmpty() ? key : path + "." + key;
    if (values.containsKey(key)) {
      problems.add(new DocumentProblem(keyPath, line(tuple.getKeyNode()), "duplicate key"));
      return;
    }
    values.put(key, value(keyPath, tuple.getValueNode()));
  }

  private static int line(Node node) {
    return node.getStartMark().getLine() + 1;
  }
}
