package io.foxtaildoor.common.yaml;

import java.util.List;
import java.util.Map;

/** Value in a YAML document; {@code line} is its line number, starting at 1. */
public sealed interface YamlValue {
  /** Line on which the value begins. */
  int line();

  /** Scalar value as written, without quotes. */
  record Scalar(String text, int line) implements YamlValue {}

  /** A list. */
  record Sequence(List<YamlValue> values, int line) implements YamlValue {}

  /** A mapping in the order of the document. */
  record Mapping(Map<String, YamlValue> values, int line) implements YamlValue {}
}
