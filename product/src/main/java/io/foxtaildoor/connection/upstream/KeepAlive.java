package io.foxtaildoor.connection.upstream;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The time for which an upstream says that it keeps an unused connection. */
final class KeepAlive {
  /** Stands for a time that the upstream does not state. */
  static final Duration UNSPECIFIED = Duration.ofDays(1);

  /** A request that is sent just before the upstream closes the connection would be lost. */
  private static final Duration SAFETY_MARGIN = Duration.ofMillis(500);

  private static final Pattern TIMEOUT =
      Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})", Pattern.CASE_INSENSITIVE);

  private KeepAlive() {}

  /** The time that an answer states, in whole seconds on the wire. */
  static Optional<Duration> timeout(HttpResponse answer) {
    String value = answer.headers().get("keep-alive");
    if (value == null) {
      return Optional.empty();
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find()
        ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))))
        : Optional.empty();
  }

  /** The part of a stated time in which the connection may be used again. */
  static Duration reusableTime(Duration stated) {
    Duration usable = stated.minus(SAFETY_MARGIN);
    return usable.isNegative() ? Duration.ZERO : usable;
  }
}
