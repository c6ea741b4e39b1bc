package io.foxtaildoor.common;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations and sizes that are written as a whole number and a unit, such as
 * 500ms or 64KiB.
 */
public final class Quantities {
  /** Durations in settings, in milliseconds. */
  public static final Quantities DURATIONS =
      new Quantities(
          "0s",
          new Unit("h", 3_600_000),
          new Unit("m", 60_000),
          new Unit("s", 1_000),
          new Unit("ms", 1));

  /** Durations of requests and load, in milliseconds; hours are not supported. */
  public static final Quantities SHORT_DURATIONS =
      new Quantities("0s", new Unit("m", 60_000), new Unit("s", 1_000), new Unit("ms", 1));

  /** Sizes in bytes. */
  public static final Quantities SIZES =
      new Quantities(
          "0B",
          new Unit("GiB", 1L << 30),
          new Unit("MiB", 1L << 20),
          new Unit("KiB", 1L << 10),
          new Unit("B", 1));

  /** Limits numbers to 10 digits, so that a number times the largest unit fits into a long. */
  private static final Pattern FORMAT = Pattern.compile("(0|[1-9][0-9]{0,9})([A-Za-z]+)");

  private record Unit(String name, long factor) {}

  private final String zeroText;
  private final List<Unit> units;

  /** Creates a format; the units are ordered from the largest to the smallest. */
  private Quantities(String zeroText, Unit... units) {
    this.zeroText = zeroText;
    this.units = List.of(units);
  }

  /** Parses a quantity and returns it in the smallest unit; empty when the text is malformed. */
  public OptionalLong parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    long number = Long.parseLong(matcher.group(1));
    return units.stream()
        .filter(unit -> unit.name().equals(matcher.group(2)))
        .mapToLong(unit -> number * unit.factor())
        .findFirst();
  }

  /**
   * Formats a quantity, given in the smallest unit, in the largest unit that gives a whole number.
   */
  public String format(long quantity) {
    if (quantity == 0) {
      return zeroText;
    }
    return units.stream()
        .filter(unit -> quantity % unit.factor() == 0)
        .map(unit -> quantity / unit.factor() + unit.name())
        .findFirst()
        .orElseThrow();
  }

  /** Formats a duration, rounded down to milliseconds. */
  public String format(Duration duration) {
    return format(duration.toMillis());
  }
}
