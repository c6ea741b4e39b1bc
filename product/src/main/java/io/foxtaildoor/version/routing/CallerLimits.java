package io.foxtaildoor.version.routing;

import io.foxtaildoor.protocol.CallerBounds;
import java.time.Duration;
import java.util.Optional;

/**
 * What a configuration lets callers send; what it leaves open is left to the node's settings.
 *
 * @param maxHeaderBytes largest sum of all header lines of a request
 * @param headTimeout time from the first byte of a request to the end of its head
 * @param idleTimeout time that a connection may wait for the next request
 */
public record CallerLimits(
    Optional<Integer> maxHeaderBytes,
    Optional<Duration> headTimeout,
    Optional<Duration> idleTimeout) {
  /** Leaves everything to the settings. */
  public static final CallerLimits NONE =
      new CallerLimits(Optional.empty(), Optional.empty(), Optional.empty());

  /** Reads the bounds of a part; 0 is taken as not stated. */
  public static CallerLimits of(CallerBounds bounds) {
    return new CallerLimits(
        Optional.of(bounds.getMaxHeaderBytes()).filter(bytes -> bytes > 0),
        durationIfPositive(bounds.getHeadTimeoutMillis()),
        durationIfPositive(bounds.getIdleTimeoutMillis()));
  }

  private static Optional<Duration> durationIfPositive(int value) {
    return Optional.of(value).filter(millis -> millis > 0).map(Duration::ofMillis);
  }

  /** The stricter of the limits of two parts. */
  public CallerLimits restrictedBy(CallerLimits other) {
    return new CallerLimits(
        minOfPresent(maxHeaderBytes, other.maxHeaderBytes),
        minOfPresent(headTimeout, other.headTimeout),
        minOfPresent(idleTimeout, other.idleTimeout));
  }

  private static <T extends Comparable<T>> Optional<T> minOfPresent(
      Optional<T> first, Optional<T> second) {
    if (first.isEmpty() || second.isEmpty()) {
      return first.or(() -> second);
    }
    return first.get().compareTo(second.get()) <= 0 ? first : second;
  }
}
