package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.request.retry.RequestOrigin;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * How callers speak to the node.
 *
 * @param headers names of the headers
 * @param localCaller service of all callers on this host; empty when each request names its caller
 * @param upstreamHost address from which the upstream on this host calls; empty when requests state
 *     their depth in the call chain
 * @param retryAfter wait that a refusal as not run asks of the caller; zero when it names no time
 */
public record CallerProtocol(
    HeaderDialect headers,
    Optional<ServiceId> localCaller,
    Optional<InetAddress> upstreamHost,
    Duration retryAfter) {
  /** The product's own interface. */
  public static final CallerProtocol STANDARD =
      new CallerProtocol(HeaderDialect.STANDARD, Optional.empty(), Optional.empty(), Duration.ZERO);

  /**
   * Where a request began. A client on the upstream's own address is taken for the upstream, which
   * makes the retry budget smaller, never larger.
   *
   * @param caller address that the connection comes from
   * @param depth depth that the request states
   */
  RequestOrigin origin(InetAddress caller, int depth) {
    boolean called = upstreamHost.map(host -> host.equals(caller)).orElse(depth > 0);
    return called ? RequestOrigin.UPSTREAM : RequestOrigin.CLIENT;
  }
}
