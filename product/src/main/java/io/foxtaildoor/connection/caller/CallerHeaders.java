package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.protocol.Header;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Decides which headers of a message are not passed on. */
final class CallerHeaders {
  /** Removing one of these on a caller's wish would change what the request means. */
  private static final Set<String> NOT_REMOVABLE =
      Set.of("host", "content-length", HeaderNames.IDEMPOTENCY_KEY);

  private CallerHeaders() {}

  /** Whether headers carry the id of another request than a given one. */
  static boolean containOtherRequestId(List<Header> headers, String requestId) {
    return headers.stream()
        .anyMatch(
            header ->
                header.getName().equalsIgnoreCase(HeaderNames.REQUEST_ID)
                    && !header.getValue().equals(requestId));
  }

  /** Names, in lower case, of the headers of a message that are not passed on. */
  static Set<String> headersToRemove(HttpHeaders headers) {
    return headersToRemove(headers.getAll(HttpHeaderNames.CONNECTION));
  }

  /**
   * Names, in lower case, of the headers that are not passed on.
   *
   * @param connection values of the Connection header
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it names a header that
   *     must be passed on
   */
  static Set<String> headersToRemove(List<String> connection) {
    Set<String> removed = new HashSet<>(HeaderNames.HOP_BY_HOP);
    // The listener answers the expectation of its caller itself.
    removed.add("expect");
    for (String value : connection) {
      for (String token : value.toLowerCase(Locale.ROOT).split(",", -1)) {
        String name = token.strip();
        if (NOT_REMOVABLE.contains(name) || name.startsWith(HeaderNames.PREFIX)) {
          throw new FoxtaildoorException(
              ErrorKind.INVALID_INPUT, "the Connection header must not name " + name);
        }
        removed.add(name);
      }
    }
    return removed;
  }
}
