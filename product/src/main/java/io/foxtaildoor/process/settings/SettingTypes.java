package io.foxtaildoor.process.settings;

import io.foxtaildoor.common.Quantities;
import io.foxtaildoor.common.yaml.YamlValue;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/** Value types of settings. */
final class SettingTypes {
  private static final int MAX_PORT = 65_535;

  private SettingTypes() {}

  static <T> SettingType<T> id(String what, Function<String, T> constructor) {
    return new SettingType<>(
        what + ": lower-case letters, digits, dots, hyphens",
        value -> constructor.apply(scalarText(value)),
        Object::toString);
  }

  static SettingType<Integer> integer(int min, int max) {
    return new SettingType<>(
        "whole number, " + min + " to " + max,
        value -> parseInteger(scalarText(value), min, max),
        Object::toString);
  }

  private static int parseInteger(String text, int min, int max) {
    try {
      int value = Integer.parseInt(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("must be a whole number, not \"" + text + "\"", e);
    }
    throw new IllegalArgumentException("must be from " + min + " to " + max + ", not " + text);
  }

  static SettingType<Duration> duration(Duration min, Duration max) {
    String range = Quantities.DURATIONS.format(min) + " to " + Quantities.DURATIONS.format(max);
    return new SettingType<>(
        "duration (ms, s, m, h), " + range,
        value -> {
          Duration duration = parseDuration(scalarText(value));
          if (duration.compareTo(min) < 0 || duration.compareTo(max) > 0) {
            throw new IllegalArgumentException(
                "must be from " + range + ", not " + scalarText(value));
          }
          return duration;
        },
        Quantities.DURATIONS::format);
  }

  private static Duration parseDuration(String text) {
    OptionalLong millis = Quantities.DURATIONS.parse(text);
    if (millis.isEmpty()) {
      throw new IllegalArgumentException(
          "must be a duration such as 500ms or 5s, not \"" + text + "\"");
    }
    return Duration.ofMillis(millis.getAsLong());
  }

  /** An enum constant, written in lower case with hyphens in place of underscores. */
  static <E extends Enum<E>> SettingType<E> hyphenatedEnum(Class<E> type) {
    String words =
        Arrays.stream(type.getEnumConstants())
            .map(SettingTypes::hyphenatedName)
            .toList()
            .toString();
    return new SettingType<>(
        "one of " + words,
        value -> {
          String text = scalarText(value);
          return Arrays.stream(type.getEnumConstants())
              .filter(constant -> hyphenatedName(constant).equals(text))
              .findFirst()
              .orElseThrow(() -> new IllegalArgumentException("must be one of " + words));
        },
        SettingTypes::hyphenatedName);
  }

  private static String hyphenatedName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static <E extends Enum<E>> SettingType<E> upperCaseEnum(Class<E> type) {
    return new SettingType<>(
        "one of " + Arrays.toString(type.getEnumConstants()),
        value -> {
          try {
            return Enum.valueOf(type, scalarText(value).toUpperCase(Locale.ROOT));
          } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                "must be one of " + Arrays.toString(type.getEnumConstants()), e);
          }
        },
        Object::toString);
  }

  static SettingType<InetAddress> address() {
    return new SettingType<>(
        "IP address", value -> parseAddress(scalarText(value)), InetAddress::getHostAddress);
  }

  static SettingType<Integer> port() {
    return new SettingType<>(
        "port, 0 to " + MAX_PORT + "; 0 selects any free port",
        value -> parseInteger(scalarText(value), 0, MAX_PORT),
        Object::toString);
  }

  /** An address that may be absent. */
  static SettingType<Optional<InetSocketAddress>> optionalEndpoint() {
    return new SettingType<>(
        "IP:PORT",
        value -> Optional.of(parseEndpoint(scalarText(value))),
        endpoint -> endpoint.map(NetUtil::toSocketAddressString).orElse("none"));
  }

  /** A value that may be absent. */
  static <T> SettingType<Optional<T>> optional(SettingType<T> type) {
    return new SettingType<>(
        type.description(),
        value -> Optional.of(type.parser().apply(value)),
        present -> present.map(type.formatter()).orElse("none"));
  }

  /**
   * A list of strings. Their format is only described here; the code that uses the setting
   * validates it.
   */
  static SettingType<List<String>> stringList(String form) {
    return new SettingType<>("list of " + form, SettingTypes::parseStringList, List::toString);
  }

  private static List<String> parseStringList(YamlValue value) {
    if (value instanceof YamlValue.Sequence sequence) {
      return sequence.values().stream().map(SettingTypes::scalarText).toList();
    }
    throw new IllegalArgumentException("must be a list");
  }

  static SettingType<List<InetSocketAddress>> endpoints() {
    return new SettingType<>(
        "list of IP:PORT", SettingTypes::parseEndpoints, SettingTypes::formatEndpoints);
  }

  private static List<InetSocketAddress> parseEndpoints(YamlValue value) {
    if (!(value instanceof YamlValue.Sequence sequence)) {
      throw new IllegalArgumentException("must be a list of IP:PORT");
    }
    List<InetSocketAddress> endpoints = new ArrayList<>();
    for (YamlValue element : sequence.values()) {
      endpoints.add(parseEndpoint(scalarText(element)));
    }
    return List.copyOf(endpoints);
  }

  /**
   * Parses an address of the form {@code IP:PORT}, with an IPv6 address in brackets.
   *
   * @throws IllegalArgumentException when the address is malformed; host names are not resolved
   */
  static InetSocketAddress parseEndpoint(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("must be IP:PORT, not \"" + text + "\"");
    }
    String host = text.substring(0, colon).replace("[", "").replace("]", "");
    int port = parseInteger(text.substring(colon + 1), 1, MAX_PORT);
    return new InetSocketAddress(parseAddress(host), port);
  }

  private static String formatEndpoints(List<InetSocketAddress> endpoints) {
    return endpoints.stream().map(NetUtil::toSocketAddressString).toList().toString();
  }

  private static InetAddress parseAddress(String text) {
    byte[] bytes = NetUtil.createByteArrayFromIpAddressString(text);
    if (bytes == null) {
      throw new IllegalArgumentException("must be an IP address, not \"" + text + "\"");
    }
    try {
      return InetAddress.getByAddress(bytes);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("must be an IP address, not \"" + text + "\"", e);
    }
  }

  private static String scalarText(YamlValue value) {
    if (value instanceof YamlValue.Scalar scalar) {
      return scalar.text();
    }
    throw new IllegalArgumentException("must be a single value");
  }
}
