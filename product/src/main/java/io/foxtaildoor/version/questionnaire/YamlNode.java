package io.foxtaildoor.version.questionnaire;

import java.util.List;

/** A node of a YAML document with its line number. Mappings keep duplicate keys. */
sealed interface YamlNode {
  /** Returns the line number, starting at 1. */
  int line();

  /** Returns the description of the type for messages. */
  String typeName();

  /** Type of a scalar. */
  enum ScalarType {
    TEXT("a text"),
    INTEGER("an integer"),
    DECIMAL("a decimal number"),
    BOOLEAN("true or false"),
    NULL("no value");

    private final String description;

    ScalarType(String description) {
      this.description = description;
    }
  }

  /** A scalar value, as the text in the document. */
  record Scalar(int line, ScalarType type, String text) implements YamlNode {
    @Override
    public String typeName() {
      return type.description;
    }
  }

  /** A list. */
  record Sequence(int line, List<YamlNode> items) implements YamlNode {
    @Override
    public String typeName() {
      return "a list";
    }
  }

  /** A mapping with its entries in the order of the document. */
  record Mapping(int line, List<Entry> entries) implements YamlNode {
    @Override
    public String typeName() {
      return "a mapping";
    }
  }

  /** One key of a mapping with its value; the line is that of the key. */
  record Entry(int line, String key, YamlNode value) {}
}
