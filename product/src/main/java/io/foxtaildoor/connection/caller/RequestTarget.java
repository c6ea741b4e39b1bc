package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.connection.head.CharacterClass;
import java.util.Locale;

/**
 * Validated target of a request.
 *
 * @param host host without its port
 * @param target path and query as sent to the upstream
 * @param path path that is used to find the route, with percent escapes of unreserved characters
 *     decoded
 */
record RequestTarget(String host, String target, String path) {
  private static final int MAX_HOST_LENGTH = 253;
  private static final int MIN_ADDRESS_LENGTH = 2;
  private static final int MAX_ADDRESS_LENGTH = 45;
  private static final int MAX_PORT_DIGITS = 5;
  private static final String HTTP_SCHEME_PREFIX = "http://";

  /**
   * Parses and validates a request target and its Host header.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the target or the header
   *     is malformed, or an upstream could interpret the path differently
   */
  static RequestTarget parse(String uri, String hostHeader) {
    String host = hostWithoutPort(hostHeader);
    String target = originForm(uri, hostHeader);
    for (int i = 0; i < target.length(); i++) {
      char c = target.charAt(i);
      if (!CharacterClass.isVisible(c) || c == '\\' || c == '#') {
        throw invalid("the request target contains a character that is not allowed");
      }
    }
    int query = target.indexOf('?');
    String path = decodeUnreserved(query < 0 ? target : target.substring(0, query));
    checkSegments(path);
    return new RequestTarget(host, target, path);
  }

  private static String hostWithoutPort(String hostHeader) {
    if (hostHeader == null || hostHeader.isEmpty()) {
      throw invalidHost();
    }
    boolean address = hostHeader.charAt(0) == '[';
    int end = address ? hostHeader.indexOf(']') + 1 : hostHeader.indexOf(':');
    int hostEnd = end < 0 ? hostHeader.length() : end;
    boolean valid = address ? isAddress(hostHeader, hostEnd) : isHostName(hostHeader, hostEnd);
    if (!valid || !isPort(hostHeader, hostEnd)) {
      throw invalidHost();
    }
    return hostHeader.substring(0, hostEnd);
  }

  private static boolean isAddress(String text, int end) {
    int length = end - "[]".length();
    return length >= MIN_ADDRESS_LENGTH
        && length <= MAX_ADDRESS_LENGTH
        && CharacterClass.matches(text, 1, end - 1, CharacterClass::isAddress);
  }

  private static boolean isHostName(String text, int end) {
    return end >= 1
        && end <= MAX_HOST_LENGTH
        && CharacterClass.isLetterOrDigit(text.charAt(0))
        && CharacterClass.matches(text, 1, end, CharacterClass::isHostName);
  }

  /** Returns whether the text ends at an index or continues there with a colon and digits. */
  private static boolean isPort(String text, int start) {
    int digits = text.length() - start - 1;
    return digits < 0
        || (text.charAt(start) == ':'
            && digits >= 1
            && digits <= MAX_PORT_DIGITS
            && CharacterClass.matches(text, start + 1, text.length(), CharacterClass::isDigit));
  }

  private static FoxtaildoorException invalidHost() {
    return invalid("the request must have one valid Host header");
  }

  private static String originForm(String uri, String hostHeader) {
    if (uri.startsWith("/")) {
      return uri;
    }
    if (!uri.regionMatches(true, 0, HTTP_SCHEME_PREFIX, 0, HTTP_SCHEME_PREFIX.length())) {
      throw invalid("the request target must be a path or an http URI");
    }
    String rest = uri.substring(HTTP_SCHEME_PREFIX.length());
    int end = 0;
    while (end < rest.length() && "/?".indexOf(rest.charAt(end)) < 0) {
      end++;
    }
    if (!rest.substring(0, end).equalsIgnoreCase(hostHeader)) {
      throw invalid("the authority of the request target differs from the Host header");
    }
    String target = rest.substring(end);
    return target.startsWith("/") ? target : "/" + target;
  }

  /**
   * Decodes the percent escapes of unreserved characters: letters, digits, hyphen, dot, underscore
   * and tilde.
   */
  private static String decodeUnreserved(String path) {
    if (path.indexOf('%') < 0) {
      return path;
    }
    StringBuilder decoded = new StringBuilder(path.length());
    for (int i = 0; i < path.length(); i++) {
      char c = path.charAt(i);
      if (c == '%') {
        int value = decodeEscape(path, i);
        if (isUnreserved(value)) {
          decoded.append((char) value);
        } else {
          decoded.append(path, i, i + 3);
        }
        i += 2;
      } else {
        decoded.append(c);
      }
    }
    return decoded.toString();
  }

  private static int decodeEscape(String path, int index) {
    int high = index + 2 < path.length() ? Character.digit(path.charAt(index + 1), 16) : -1;
    int low = high >= 0 ? Character.digit(path.charAt(index + 2), 16) : -1;
    if (low < 0) {
      throw invalid("the path has a malformed percent escape");
    }
    return high * 16 + low;
  }

  private static boolean isUnreserved(int c) {
    return CharacterClass.isLetterOrDigit(c) || (c < 128 && "-._~".indexOf(c) >= 0);
  }

  /**
   * Rejects empty and dot segments. An upstream could normalize them and serve a path of another
   * route.
   */
  private static void checkSegments(String path) {
    String separated = path;
    if (path.indexOf('%') >= 0) {
      separated = path.toLowerCase(Locale.ROOT).replace("%2f", "/").replace("%5c", "/");
    }
    int start = 1;
    for (int end = separated.indexOf('/', start); end >= 0; end = separated.indexOf('/', start)) {
      if (end == start || isDotSegment(separated, start, end)) {
        throw invalidSegment();
      }
      start = end + 1;
    }
    if (isDotSegment(separated, start, separated.length())) {
      throw invalidSegment();
    }
  }

  private static boolean isDotSegment(String path, int start, int end) {
    int length = end - start;
    return (length == 1 || length == 2) && path.charAt(start) == '.' && path.charAt(end - 1) == '.';
  }

  private static FoxtaildoorException invalidSegment() {
    return invalid("the path must not have empty, \".\" or \"..\" segments");
  }

  private static FoxtaildoorException invalid(String message) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
  }
}
