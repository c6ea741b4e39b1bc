package io.foxtaildoor.process.instance;

/**
 * One run of an upstream instance, identified by its id and start time.
 *
 * @param startedMillis start time in milliseconds since the epoch, by the instance's own clock;
 *     {@link #UNKNOWN_START} when the start time is not known
 */
public record Incarnation(InstanceId id, long startedMillis) {
  static final long UNKNOWN_START = 0;

  /** Returns whether the start time of this incarnation is known. */
  boolean isStartKnown() {
    return startedMillis != UNKNOWN_START;
  }

  /** Returns whether this incarnation is known to have started before another one. */
  boolean isOlderThan(Incarnation other) {
    return startedMillis < other.startedMillis;
  }
}
