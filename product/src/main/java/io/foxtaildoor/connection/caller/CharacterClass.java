package io.foxtaildoor.connection.caller;

import java.util.function.IntPredicate;

/**
 * Classes of ASCII characters in heads of requests. A comparison of each character costs a node
 * that has just started less processor time than a regular expression.
 */
final class CharacterClass {
  private CharacterClass() {}

  /** Returns whether a text has at least one character, at most a maximum, and all of a class. */
  static boolean matches(String text, int maxLength, IntPredicate characterClass) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && matches(text, 0, text.length(), characterClass);
  }

  /** Returns whether all characters from an index to another, exclusive, are of a class. */
  static boolean matches(String text, int start, int end, IntPredicate characterClass) {
    for (int i = start; i < end; i++) {
      if (!characterClass.test(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  static boolean isDigit(int c) {
    return c >= '0' && c <= '9';
  }

  static boolean isLetterOrDigit(int c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || isDigit(c);
  }

  /** Visible ASCII characters, without the space. */
  static boolean isVisible(int c) {
    return c > ' ' && c < 127;
  }

  static boolean isRequestId(int c) {
    return isLetterOrDigit(c) || (c < 128 && "._~:+/=-".indexOf(c) >= 0);
  }

  static boolean isHostName(int c) {
    return isLetterOrDigit(c) || c == '.' || c == '-';
  }

  /** Characters of an IPv6 address in text form. */
  static boolean isAddress(int c) {
    return (c < 128 && Character.digit(c, 16) >= 0) || c == ':' || c == '.';
  }
}
