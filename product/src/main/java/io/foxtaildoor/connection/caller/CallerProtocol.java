package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Protocol conventions between callers and the node.
 *
 * @param headers header names that callers use
 * @param localCaller service of all callers on this host; empty if each request names its calling
 *     service in a header
 * @param retryAfter time that a 503 response asks the caller to wait before a retry; zero for none
 */
public record CallerProtocol(
    HeaderDialect headers, Optional<ServiceId> localCaller, Duration retryAfter) {
  /** The standard protocol of foxtaildoor. */
  public static final CallerProtocol STANDARD =
      new CallerProtocol(HeaderDialect.STANDARD, Optional.empty(), Duration.ZERO);
}
