package io.foxtaildoor.version.questionnaire;

/** Formats the paths and excerpts of a document that appear in problem messages. */
final class ProblemTexts {
  /** Maximum length of an excerpt of the document in a message, in characters. */
  private static final int MAX_EXCERPT_CHARS = 80;

  private ProblemTexts() {}

  /** Returns the path of a key's value in the mapping at a path. */
  static String childPath(String path, String key) {
    return path.isEmpty() ? toPrintable(key) : path + "." + toPrintable(key);
  }

  /** Returns the path of an element in the list at a path. */
  static String itemPath(String path, int index) {
    return path + "[" + index + "]";
  }

  /** Truncates a text and replaces every character other than printable ASCII by {@code ?}. */
  static String toPrintable(String text) {
    String excerpt =
        text.length() <= MAX_EXCERPT_CHARS ? text : text.substring(0, MAX_EXCERPT_CHARS) + "...";
    return excerpt.replaceAll("[^\\x20-\\x7e]", "?");
  }

  /** Returns an excerpt of a text in quotation marks. */
  static String quote(String text) {
    return '"' + toPrintable(text) + '"';
  }
}
