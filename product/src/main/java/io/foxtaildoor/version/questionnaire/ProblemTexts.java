package io.foxtaildoor.version.questionnaire;

/** Paths and excerpts of documents in messages. */
final class ProblemTexts {
  /** Longest excerpt of a document in a message, in characters. */
  private static final int MAX_EXCERPT = 80;

  private ProblemTexts() {}

  /** The path of a key's value. */
  static String child(String path, String key) {
    return path.isEmpty() ? printable(key) : path + "." + printable(key);
  }

  /** The path of a list element. */
  static String item(String path, int index) {
    return path + "[" + index + "]";
  }

  /** Shortens a text and replaces what is not printable ASCII. */
  static String printable(String text) {
    String head = text.length() <= MAX_EXCERPT ? text : text.substring(0, MAX_EXCERPT) + "...";
    return head.replaceAll("[^\\x20-\\x7e]", "?");
  }

  /** An excerpt in quotation marks. */
  static String quote(String text) {
    return '"' + printable(text) + '"';
  }
}
