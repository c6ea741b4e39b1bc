package io.foxtaildoor.connection.upstream;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the {@code Keep-Alive} header, by which an upstream states its idle timeout. */
final class KeepAlive {
  /** Idle timeout that is assumed when the upstream does not state one. */
  static final Duration UNSPECIFIED = Duration.ofDays(1);

  /**
   * Subtracted from the stated timeout, because a request that is sent just before the upstream
   * closes the connection would be lost.
   */
  private static final Duration SAFETY_MARGIN = Duration.ofMillis(500);

  private static final Pattern TIMEOUT =
      Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})", Pattern.CASE_INSENSITIVE);

  private KeepAlive() {}

  /** The idle timeout that a response states; the header holds whole seconds. */
  static Optional<Duration> timeout(HttpResponse httpResponse) {
    String value = httpResponse.headers().get("keep-alive");
    if (value == null) {
      return Optional.empty();
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find()
        ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))))
        : Optional.empty();
  }

  /** How long an idle connection may be reused, given the idle timeout that the upstream stated. */
  static Duration reusableTime(Duration stated) {
    Duration usable = stated.minus(SAFETY_MARGIN);
    return usable.isNegative() ? Duration.ZERO : usable;
  }
}
