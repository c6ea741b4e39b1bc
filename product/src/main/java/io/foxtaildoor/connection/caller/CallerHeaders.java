package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.connection.head.HopByHopHeaders;
import io.foxtaildoor.protocol.Header;
import java.util.List;

/** Determines which headers of a message must not be forwarded. */
final class CallerHeaders {
  /**
   * Headers that the Connection header must not name, since removing them would change the meaning
   * of the request.
   */
  private static final List<String> NOT_REMOVABLE =
      List.of("host", "content-length", HeaderNames.IDEMPOTENCY_KEY);

  private CallerHeaders() {}

  /**
   * Returns whether the headers carry a request id other than the given one.
   *
   * @param dialect names the id header of upstreams, which is checked beside the product's own
   */
  static boolean containOtherRequestId(
      List<Header> headers, HeaderDialect dialect, String requestId) {
    for (Header header : headers) {
      String name = header.getName();
      boolean namesRequest =
          name.equalsIgnoreCase(HeaderNames.REQUEST_ID)
              || name.equalsIgnoreCase(dialect.requestId());
      if (namesRequest && !header.getValue().equals(requestId)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a header is one of the product's own. */
  static boolean isOwn(String name) {
    return name.regionMatches(true, 0, HeaderNames.PREFIX, 0, HeaderNames.PREFIX.length());
  }

  /**
   * Returns the headers of a message that apply to its connection only.
   *
   * @param connection values of the Connection header
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the Connection header
   *     names a header that must be forwarded
   */
  static HopByHopHeaders hopByHop(List<String> connection) {
    HopByHopHeaders hopByHop = HopByHopHeaders.of(connection);
    for (String name : hopByHop.listed()) {
      if (isOwn(name) || NOT_REMOVABLE.stream().anyMatch(name::equalsIgnoreCase)) {
        throw new FoxtaildoorException(
            ErrorKind.INVALID_INPUT, "the Connection header must not name " + name);
      }
    }
    return hopByHop;
  }
}
