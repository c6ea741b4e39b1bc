package io.foxtaildoor.version.questionnaire;

import static io.foxtaildoor.version.questionnaire.FieldReader.scalarReader;

import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Quantities;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.version.questionnaire.FieldReader.Reporter;
import io.foxtaildoor.version.questionnaire.FieldReader.ValueReader;
import io.foxtaildoor.version.questionnaire.YamlNode.ScalarType;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Readers for the types of values in a questionnaire. */
final class ValueReaders {
  private static final Pattern INTEGER = Pattern.compile("0|-?[1-9][0-9]{0,9}");
  private static final Pattern HOST =
      Pattern.compile("[a-z0-9]([a-z0-9-]*[a-z0-9])?(\\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*");
  private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*");
  private static final Pattern VALID_ESCAPES = Pattern.compile("([^%]|%[0-9A-Fa-f]{2})*");
  private static final Pattern DOT_SEGMENT = Pattern.compile("(.*/)?\\.\\.?(/.*)?");

  private ValueReaders() {}

  /** Returns a reader for an id, whose format is checked by a constructor. */
  static <T> ValueReader<T> id(Function<String, T> constructor) {
    return scalarReader(
        ScalarType.TEXT,
        "a text (put an id of digits in quotation marks)",
        (text, reporter) -> parseId(text, constructor, reporter));
  }

  private static <T> Optional<T> parseId(
      String text, Function<String, T> constructor, Reporter reporter) {
    try {
      return Optional.of(constructor.apply(text));
    } catch (FoxtaildoorException e) {
      return reporter.reject(
          ProblemKind.MALFORMED_ID,
          ProblemTexts.quote(text)
              + " must have 1 to 63 lower-case letters, digits, dots or hyphens"
              + " and begin and end with a letter or digit");
    }
  }

  /**
   * Returns a reader for a caller: a service id, or the given value that stands for every caller.
   */
  static ValueReader<String> caller(String anyCaller) {
    ValueReader<ServiceId> id = id(ServiceId::new);
    return (node, path, problems) -> {
      if (node instanceof YamlNode.Scalar scalar
          && scalar.type() == ScalarType.TEXT
          && scalar.text().equals(anyCaller)) {
        return Optional.of(anyCaller);
      }
      return id.read(node, path, problems).map(ServiceId::value);
    };
  }

  static ValueReader<Integer> integer(int min, int max) {
    return scalarReader(
        ScalarType.INTEGER,
        "an integer",
        (text, reporter) -> {
          if (!INTEGER.matcher(text).matches()) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE,
                ProblemTexts.quote(text) + " must be a decimal integer of at most 10 digits");
          }
          long value = Long.parseLong(text);
          if (value < min || value > max) {
            return reporter.reject(
                ProblemKind.OUT_OF_RANGE, "must be from " + min + " to " + max + ", not " + text);
          }
          return Optional.of((int) value);
        });
  }

  static ValueReader<Boolean> bool() {
    return scalarReader(
        ScalarType.BOOLEAN,
        "true or false",
        (text, reporter) -> {
          // The YAML parser accepts other words as booleans as well, such as yes and no.
          if (!text.equals("true") && !text.equals("false")) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE, ProblemTexts.quote(text) + " must be true or false");
          }
          return Optional.of(text.equals("true"));
        });
  }

  static ValueReader<Rank> rank() {
    return scalarReader(
        ScalarType.TEXT,
        "a rank",
        (text, reporter) -> {
          Optional<Rank> rank = rank(text);
          if (rank.isEmpty()) {
            reporter.report(
                ProblemKind.MALFORMED_VALUE,
                ProblemTexts.quote(text) + " must be one of " + Arrays.toString(Rank.values()));
          }
          return rank;
        });
  }

  static Optional<Rank> rank(String text) {
    return Arrays.stream(Rank.values()).filter(rank -> rank.name().equals(text)).findFirst();
  }

  static ValueReader<Duration> duration(Duration min, Duration max) {
    String expected = "a duration in ms, s or m, for example 500ms";
    ValueReader<Long> millis =
        quantity(Quantities.SHORT_DURATIONS, expected, min.toMillis(), max.toMillis());
    return (node, path, problems) -> millis.read(node, path, problems).map(Duration::ofMillis);
  }

  static ValueReader<Long> size(long max) {
    return quantity(Quantities.SIZES, "a size in B, KiB, MiB or GiB, for example 64KiB", 0, max);
  }

  private static ValueReader<Long> quantity(
      Quantities quantities, String expected, long min, long max) {
    return scalarReader(
        ScalarType.TEXT,
        expected,
        (text, reporter) -> {
          OptionalLong quantity = quantities.parse(text);
          if (quantity.isEmpty()) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE, ProblemTexts.quote(text) + " must be " + expected);
          }
          long value = quantity.getAsLong();
          if (value < min || value > max) {
            return reporter.reject(
                ProblemKind.OUT_OF_RANGE,
                "must be from "
                    + quantities.format(min)
                    + " to "
                    + quantities.format(max)
                    + ", not "
                    + text);
          }
          return Optional.of(value);
        });
  }

  static ValueReader<String> host() {
    return scalarReader(
        ScalarType.TEXT,
        "a host name",
        (text, reporter) -> {
          if (text.length() > Limits.MAX_HOST_CHARS || !HOST.matcher(text).matches()) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE,
                ProblemTexts.quote(text) + " must be a lower-case host name without a port");
          }
          return Optional.of(text);
        });
  }

  static ValueReader<String> method() {
    return scalarReader(
        ScalarType.TEXT,
        "a method",
        (text, reporter) -> {
          if (!Limits.METHODS.contains(text)) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE,
                ProblemTexts.quote(text) + " must be one of " + new TreeSet<>(Limits.METHODS));
          }
          return Optional.of(text);
        });
  }

  static ValueReader<String> path() {
    return scalarReader(
        ScalarType.TEXT,
        "a path",
        (text, reporter) -> {
          if (text.length() > Limits.MAX_PATH_CHARS) {
            return reporter.reject(
                ProblemKind.TOO_LARGE, "more than " + Limits.MAX_PATH_CHARS + " characters");
          }
          if (!isPath(text)) {
            return reporter.reject(
                ProblemKind.MALFORMED_VALUE,
                ProblemTexts.quote(text)
                    + " must be an absolute URL path without query, empty or dot segments");
          }
          return Optional.of(text);
        });
  }

  private static boolean isPath(String text) {
    return PATH.matcher(text).matches()
        && VALID_ESCAPES.matcher(text).matches()
        && !text.contains("//")
        && !DOT_SEGMENT.matcher(text).matches();
  }
}
