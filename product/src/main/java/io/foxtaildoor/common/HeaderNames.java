package io.foxtaildoor.common;

import java.util.Set;

/** Names of HTTP headers in lower case. */
public final class HeaderNames {
  /**
   * Prefix of all headers of the product; none of them is passed from caller to upstream or back.
   */
  public static final String PREFIX = "foxtaildoor-";

  public static final String ATTEMPT = PREFIX + "attempt";
  public static final String CALLER = PREFIX + "caller";
  public static final String DEADLINE_MILLIS = PREFIX + "deadline-ms";
  public static final String DEPTH = PREFIX + "depth";
  public static final String ERROR = PREFIX + "error";
  public static final String OUTCOME = PREFIX + "outcome";
  public static final String RANK = PREFIX + "rank";

  /**
   * Id of the request; the caller's node also uses it to check that a response belongs to the
   * request.
   */
  public static final String REQUEST_ID = PREFIX + "request-id";

  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /**
   * Headers that apply to a single connection (RFC 9110, section 7.6.1), which a proxy does not
   * forward.
   */
  public static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "http2-settings",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HeaderNames() {}
}
