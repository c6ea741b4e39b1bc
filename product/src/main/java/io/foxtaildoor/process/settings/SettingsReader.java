package io.foxtaildoor.process.settings;

import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.yaml.DocumentProblem;
import io.foxtaildoor.common.yaml.YamlReader;
import io.foxtaildoor.common.yaml.YamlValue;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Parses a settings document and validates it against a list of setting definitions. */
public final class SettingsReader {
  private static final int MAX_DOCUMENT_BYTES = 256 * 1024;

  private final List<Setting<?>> settings;
  private final Set<String> keys;
  private final List<DocumentProblem> problems;
  private final Map<String, Object> values = new HashMap<>();

  private SettingsReader(List<Setting<?>> settings, List<DocumentProblem> problems) {
    this.settings = settings;
    this.problems = problems;
    this.keys = settings.stream().map(Setting::key).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Parses and validates a settings document.
   *
   * @param problems receives every problem found, sorted by line
   * @return the values; empty when the document has any problem
   */
  public static Optional<Settings> read(
      byte[] document, List<Setting<?>> settings, List<DocumentProblem> problems) {
    return new SettingsReader(settings, problems).read(document);
  }

  private Optional<Settings> read(byte[] document) {
    YamlReader.read(document, MAX_DOCUMENT_BYTES, problems).ifPresent(this::readSettings);
    problems.sort(Comparator.comparingInt(DocumentProblem::line));
    return problems.isEmpty() ? Optional.of(new Settings(values)) : Optional.empty();
  }

  private void readSettings(YamlValue.Mapping root) {
    Map<String, YamlValue> found = new HashMap<>();
    collectValues("", root, found);
    settings.forEach(setting -> readSetting(setting, found.get(setting.key())));
  }

  private void collectValues(String path, YamlValue.Mapping mapping, Map<String, YamlValue> found) {
    mapping
        .values()
        .forEach(
            (key, value) -> {
              String keyPath = path.isEmpty() ? key : path + "." + key;
              if (keys.contains(keyPath)) {
                found.put(keyPath, value);
              } else if (value instanceof YamlValue.Mapping section && isSection(keyPath)) {
                collectValues(keyPath, section, found);
              } else {
                String fault = isSection(keyPath) ? "must be a section with keys" : "unknown key";
                problems.add(new DocumentProblem(keyPath, value.line(), fault));
              }
            });
  }

  private boolean isSection(String path) {
    return keys.stream().anyMatch(key -> key.startsWith(path + "."));
  }

  private <T> void readSetting(Setting<T> setting, YamlValue value) {
    if (value == null) {
      setting
          .defaultValue()
          .ifPresentOrElse(
              defaultValue -> values.put(setting.key(), defaultValue),
              () -> problems.add(new DocumentProblem(setting.key(), 1, "is required")));
      return;
    }
    try {
      values.put(setting.key(), setting.type().parser().apply(value));
    } catch (IllegalArgumentException | FoxtaildoorException e) {
      problems.add(new DocumentProblem(setting.key(), value.line(), e.getMessage()));
    }
  }
}
