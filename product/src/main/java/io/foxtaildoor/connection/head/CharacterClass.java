package io.foxtaildoor.connection.head;

import java.util.function.IntPredicate;

/**
 * Classes of ASCII characters in heads of requests. A comparison of each character costs a node
 * that has just started less processor time than a regular expression.
 */
public final class CharacterClass {
  private CharacterClass() {}

  /** Returns whether a text has at least one character, at most a maximum, and all of a class. */
  public static boolean matches(String text, int maxLength, IntPredicate characterClass) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && matches(text, 0, text.length(), characterClass);
  }

  /** Returns whether all characters from an index to another, exclusive, are of a class. */
  public static boolean matches(String text, int start, int end, IntPredicate characterClass) {
    for (int i = start; i < end; i++) {
      if (!characterClass.test(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  /** Digits. */
  public static boolean isDigit(int c) {
    return c >= '0' && c <= '9';
  }

  /** Letters and digits. */
  public static boolean isLetterOrDigit(int c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || isDigit(c);
  }

  /** Visible ASCII characters, without the space. */
  public static boolean isVisible(int c) {
    return c > ' ' && c < 127;
  }

  /** Characters of a request id. */
  public static boolean isRequestId(int c) {
    return isLetterOrDigit(c) || (c < 128 && "._~:+/=-".indexOf(c) >= 0);
  }

  /** Characters of a host name. */
  public static boolean isHostName(int c) {
    return isLetterOrDigit(c) || c == '.' || c == '-';
  }

  /** Characters of an IPv6 address in text form. */
  public static boolean isAddress(int c) {
    return (c < 128 && Character.digit(c, 16) >= 0) || c == ':' || c == '.';
  }
}
