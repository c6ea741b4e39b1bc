package io.foxtaildoor.connection.head;

import io.foxtaildoor.common.HeaderNames;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Names of the headers of one message that apply to a single connection, so that a proxy does not
 * forward them: those of RFC 9110, section 7.6.1, and those that the message lists in its
 * Connection headers. Names are compared without regard to case.
 */
public final class HopByHopHeaders {
  private static final HopByHopHeaders NONE_LISTED = new HopByHopHeaders(Set.of());
  private static final String[][] NAMES_BY_LENGTH = namesByLength();

  /** Names in lower case; a set, because a faulty peer may list thousands of them. */
  private final Set<String> listed;

  private HopByHopHeaders(Set<String> listed) {
    this.listed = listed;
  }

  private static String[][] namesByLength() {
    int longest = HeaderNames.HOP_BY_HOP.stream().mapToInt(String::length).max().orElse(0);
    String[][] names = new String[longest + 1][];
    for (int i = 0; i <= longest; i++) {
      int length = i;
      names[i] =
          HeaderNames.HOP_BY_HOP.stream()
              .filter(name -> name.length() == length)
              .toArray(String[]::new);
    }
    return names;
  }

  /**
   * Returns the names for a message.
   *
   * @param connectionValues values of its Connection headers
   */
  public static HopByHopHeaders of(List<String> connectionValues) {
    if (connectionValues.isEmpty()) {
      return NONE_LISTED;
    }
    Set<String> names = new HashSet<>();
    for (String value : connectionValues) {
      for (String name : value.split(",", -1)) {
        names.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return new HopByHopHeaders(names);
  }

  /** Returns the names that the Connection headers list, in lower case. */
  public Set<String> listed() {
    return listed;
  }

  /** Returns whether a header applies to the connection only. */
  public boolean contains(String name) {
    return isAlwaysHopByHop(name)
        || (!listed.isEmpty() && listed.contains(name.toLowerCase(Locale.ROOT)));
  }

  private static boolean isAlwaysHopByHop(String name) {
    int length = name.length();
    if (length >= NAMES_BY_LENGTH.length) {
      return false;
    }
    for (String candidate : NAMES_BY_LENGTH[length]) {
      if (candidate.equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
