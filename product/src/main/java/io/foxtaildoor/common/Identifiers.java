package io.foxtaildoor.common;

import java.util.regex.Pattern;

/** Validation of the text form that all ids share. */
final class Identifiers {
  /** Lower-case letters, digits, dots and hyphens; 1 to 63 characters, as in a DNS label. */
  private static final Pattern FORMAT = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

  private Identifiers() {}

  static void requireValid(String what, String value) {
    if (value == null || !FORMAT.matcher(value).matches()) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          what
              + " \""
              + value
              + "\" must have 1 to 63 lower-case letters, digits, dots or hyphens"
              + " and begin and end with a letter or digit");
    }
  }
}
