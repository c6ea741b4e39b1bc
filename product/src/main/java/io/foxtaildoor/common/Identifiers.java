package io.foxtaildoor.common;

/** Validation of the text form that all ids share. */
final class Identifiers {
  private static final int MAX_LENGTH = 63;

  private Identifiers() {}

  static void requireValid(String what, String value) {
    if (value == null || !isValid(value)) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          what
              + " \""
              + value
              + "\" must have 1 to 63 lower-case letters, digits, dots or hyphens"
              + " and begin and end with a letter or digit");
    }
  }

  /** Lower-case letters, digits, dots and hyphens; 1 to 63 characters, as in a DNS label. */
  private static boolean isValid(String value) {
    int length = value.length();
    if (length == 0
        || length > MAX_LENGTH
        || !isLetterOrDigit(value.charAt(0))
        || !isLetterOrDigit(value.charAt(length - 1))) {
      return false;
    }
    for (int i = 1; i < length - 1; i++) {
      char c = value.charAt(i);
      if (!isLetterOrDigit(c) && c != '.' && c != '-') {
        return false;
      }
    }
    return true;
  }

  private static boolean isLetterOrDigit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  }
}
