package io.foxtaildoor.process.settings;

import java.util.Optional;

/**
 * Definition of a setting.
 *
 * @param <T> type of its value
 * @param key path of the value in the settings document, its keys joined by dots
 * @param type parser, formatter and format description of the value
 * @param defaultValue default value; empty when the setting is required
 * @param reloadable whether a new value takes effect without a restart
 */
public record Setting<T>(
    String key,
    SettingType<T> type,
    Optional<T> defaultValue,
    boolean reloadable,
    String description) {
  static <T> Setting<T> required(String key, SettingType<T> type, String description) {
    return new Setting<>(key, type, Optional.empty(), false, description);
  }

  static <T> Setting<T> optional(
      String key, SettingType<T> type, T defaultValue, String description) {
    return new Setting<>(key, type, Optional.of(defaultValue), false, description);
  }

  /** Returns a copy of this definition whose values take effect without a restart. */
  Setting<T> asReloadable() {
    return new Setting<>(key, type, defaultValue, true, description);
  }
}
