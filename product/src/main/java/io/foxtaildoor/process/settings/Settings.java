package io.foxtaildoor.process.settings;

import java.util.Map;

/** Validated setting values. Immutable. */
public final class Settings {
  private final Map<String, Object> values;

  /**
   * Creates settings.
   *
   * @param values values by setting key. The {@link Setting} record itself is not the map key,
   *     because the first call of a record's {@code hashCode} generates classes at run time, which
   *     delays the start of a node.
   */
  Settings(Map<String, Object> values) {
    this.values = Map.copyOf(values);
  }

  /** Returns the value of a setting. */
  @SuppressWarnings("unchecked") // SettingsReader stores only values of the setting's type.
  public <T> T get(Setting<T> setting) {
    return (T) values.get(setting.key());
  }
}
