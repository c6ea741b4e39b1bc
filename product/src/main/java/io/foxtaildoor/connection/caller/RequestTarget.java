package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Validated target of a request.
 *
 * @param host host without its port
 * @param target path and query as sent to the upstream
 * @param path path that is used to find the route, with percent escapes of unreserved characters
 *     decoded
 */
record RequestTarget(String host, String target, String path) {
  private static final Pattern HOST_PATTERN =
      Pattern.compile("([A-Za-z0-9][A-Za-z0-9.-]{0,252}|\\[[0-9A-Fa-f:.]{2,45}])(:[0-9]{1,5})?");

  private static final Pattern PORT_PATTERN = Pattern.compile(":[0-9]{1,5}$");
  private static final String HTTP_SCHEME_PREFIX = "http://";

  /**
   * Parses and validates a request target and its Host header.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the target or the header
   *     is malformed, or an upstream could interpret the path differently
   */
  static RequestTarget parse(String uri, String hostHeader) {
    if (hostHeader == null || !HOST_PATTERN.matcher(hostHeader).matches()) {
      throw invalid("the request must have one valid Host header");
    }
    String target = originForm(uri, hostHeader);
    for (int i = 0; i < target.length(); i++) {
      char c = target.charAt(i);
      if (c <= ' ' || c >= 127 || c == '\\' || c == '#') {
        throw invalid("the request target contains a character that is not allowed");
      }
    }
    int query = target.indexOf('?');
    String path = decodeUnreserved(query < 0 ? target : target.substring(0, query));
    checkSegments(path);
    return new RequestTarget(PORT_PATTERN.matcher(hostHeader).replaceFirst(""), target, path);
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
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || (c < 128 && "-._~".indexOf(c) >= 0);
  }

  /**
   * Rejects empty and dot segments. An upstream could normalize them and serve a path of another
   * route.
   */
  private static void checkSegments(String path) {
    String separated =
        path.toLowerCase(Locale.ROOT).replace("%2f", "/").replace("%5c", "/").substring(1);
    if (separated.isEmpty()) {
      return;
    }
    String[] segments = separated.split("/", -1);
    for (int i = 0; i < segments.length; i++) {
      boolean empty = segments[i].isEmpty() && i < segments.length - 1;
      if (empty || segments[i].equals(".") || segments[i].equals("..")) {
        throw invalid("the path must not have empty, \".\" or \"..\" segments");
      }
    }
  }

  private static FoxtaildoorException invalid(String message) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
  }
}
