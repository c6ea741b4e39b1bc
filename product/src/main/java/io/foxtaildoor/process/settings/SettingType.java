package io.foxtaildoor.process.settings;

import io.foxtaildoor.common.yaml.YamlValue;
import java.util.function.Function;

/**
 * Value type of a setting: how its value is described, parsed and formatted.
 *
 * @param <T> type of the value
 * @param description human-readable format and range
 * @param parser parses a value; throws {@link IllegalArgumentException} when it is malformed
 * @param formatter formats a value as it is written in a settings document
 */
public record SettingType<T>(
    String description, Function<YamlValue, T> parser, Function<T, String> formatter) {}
