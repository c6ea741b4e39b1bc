package io.foxtaildoor.version.questionnaire;

import java.util.List;

/** A node of a YAML document with its line; a mapping keeps duplicate keys. */
sealed interface YamlNode {
  /** Line number from 1. */
  int line();

  /** The type as it is called in messages. */
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

  /** A single value in the form that the document has it. */
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

  /** Keys with values, in the order of the document. */
  record Mapping(int line, List<Entry> entries) implements YamlNode {
    @Override
    public String typeName() {
      return "a mapping";
    }
  }

  /** One key with its value. */
  record Entry(int line, String key, YamlNode value) {}
}
