package io.foxtaildoor.process.load;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * Specification of one stream of identical requests.
 *
 * @param name name of the stream, unique in the plan
 * @param url target URL with the scheme {@code http}
 * @param headers headers of each request; {@code Host} is set from the URL when absent
 * @param body body of each request; empty for requests without a body
 * @param rank label shown in reports; does not affect the requests
 * @param ratePerSecond mean number of requests per second
 * @param deadline time after the intended send time within which a response counts as in time
 * @param echo whether each request has a unique {@code x-echo-id} header that the response must
 *     echo
 */
public record StreamPlan(
    String name,
    URI url,
    String method,
    Map<String, String> headers,
    String body,
    String rank,
    double ratePerSecond,
    ArrivalProcess arrival,
    Duration deadline,
    boolean echo) {
  private static final double MAX_RATE = 1_000_000;

  /**
   * Validates the stream and sets defaults for absent values.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the stream is invalid
   */
  public StreamPlan {
    require(name != null && !name.isBlank(), "a stream", "must have a name");
    require(url != null && "http".equals(url.getScheme()), name, "needs an http URL");
    require(url.getHost() != null, name, "needs a host in its URL");
    require(ratePerSecond > 0 && ratePerSecond <= MAX_RATE, name, "rate must be in (0, 1000000]");
    require(deadline != null && isPositive(deadline), name, "needs a positive deadline");
    require(method == null || !method.isBlank(), name, "method must not be blank");
    method = method == null ? "GET" : method;
    headers = headers == null ? Map.of() : Map.copyOf(headers);
    body = body == null ? "" : body;
    rank = rank == null ? "" : rank;
    arrival = arrival == null ? ArrivalProcess.CONSTANT : arrival;
  }

  /** Returns the path and query as a request target. */
  String requestTarget() {
    String path = url.getRawPath() == null || url.getRawPath().isEmpty() ? "/" : url.getRawPath();
    return url.getRawQuery() == null ? path : path + "?" + url.getRawQuery();
  }

  int port() {
    return url.getPort() < 0 ? 80 : url.getPort();
  }

  private static boolean isPositive(Duration duration) {
    return !duration.isNegative() && !duration.isZero();
  }

  private static void require(boolean holds, String name, String message) {
    if (!holds) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "load plan: " + name + " " + message);
    }
  }
}
