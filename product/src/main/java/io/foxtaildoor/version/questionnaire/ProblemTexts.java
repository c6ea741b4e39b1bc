package io.foxtaildoor.version.questionnaire;

/** Paths and excerpts of documents in messages. */
final class ProblemTexts {
  /** Longest excerpt of a document in a message, in characters. */
  private static final int MAX_EXCERPT_CHARS = 80;

  private ProblemTexts() {}

  /** The path of a key's value. */
  static String childPath(String path, String key) {
    return path.isEmpty() ? toPrintable(key) : path + "." + toPrintable(key);
  }

  /** The path of a list element. */
  static String itemPath(String path, int index) {
    return path + "[" + index + "]";
  }

  /** Shortens a text and replaces what is not printable ASCII. */
  static String toPrintable(String text) {
    String excerpt =
        text.length() <= MAX_EXCERPT_CHARS ? text : text.substring(0, MAX_EXCERPT_CHARS) + "...";
    return excerpt.replaceAll("[^\\x20-\\x7e]", "?");
  }

  /** An excerpt in quotation marks. */
  static String quote(String text) {
    return '"' + toPrintable(text) + '"';
  }
}
