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

/** Determines which headers of a message must not be forwarded. */
final class CallerHeaders {
  /**
   * Headers that the Connection header must not name, since removing them would change the meaning
   * of the request.
   */
  private static final Set<String> NOT_REMOVABLE =
      Set.of("host", "content-length", HeaderNames.IDEMPOTENCY_KEY);

  private CallerHeaders() {}

  /** Returns whether the headers carry a request id other than the given one. */
  static boolean containOtherRequestId(List<Header> headers, String requestId) {
    return headers.stream()
        .anyMatch(
            header ->
                header.getName().equalsIgnoreCase(HeaderNames.REQUEST_ID)
                    && !header.getValue().equals(requestId));
  }

  /** Returns the lower-case names of the headers of a message that must not be forwarded. */
  static Set<String> headersToRemove(HttpHeaders headers) {
    return headersToRemove(headers.getAll(HttpHeaderNames.CONNECTION));
  }

  /**
   * Returns the lower-case names of the headers that must not be forwarded.
   *
   * @param connection values of the Connection header
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the Connection header
   *     names a header that must be forwarded
   */
  static Set<String> headersToRemove(List<String> connection) {
    Set<String> removed = new HashSet<>(HeaderNames.HOP_BY_HOP);
    // The listener itself responds to the Expect header of the caller.
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
