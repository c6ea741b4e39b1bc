package io.foxtaildoor.version.routing;

import io.foxtaildoor.protocol.CallerBounds;
import java.time.Duration;
import java.util.Optional;

/**
 * Limits that a configuration sets for callers. An empty limit leaves the value to the node's
 * settings.
 *
 * @param maxHeaderBytes maximum total size of the header lines of a request
 * @param headTimeout maximum time from the first byte of a request to the end of its head
 * @param idleTimeout maximum time that a connection may be idle before the next request
 */
public record CallerLimits(
    Optional<Integer> maxHeaderBytes,
    Optional<Duration> headTimeout,
    Optional<Duration> idleTimeout) {
  /** Sets no limits, so that only the node's settings apply. */
  public static final CallerLimits NONE =
      new CallerLimits(Optional.empty(), Optional.empty(), Optional.empty());

  /** Creates the limits from a part's bounds, where 0 means that the limit is not set. */
  public static CallerLimits of(CallerBounds bounds) {
    return new CallerLimits(
        Optional.of(bounds.getMaxHeaderBytes()).filter(bytes -> bytes > 0),
        durationIfPositive(bounds.getHeadTimeoutMillis()),
        durationIfPositive(bounds.getIdleTimeoutMillis()));
  }

  private static Optional<Duration> durationIfPositive(int value) {
    return Optional.of(value).filter(millis -> millis > 0).map(Duration::ofMillis);
  }

  /** Returns for each limit the stricter value of this object and another one. */
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
