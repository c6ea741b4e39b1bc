package io.foxtaildoor.process.load;

/** One request of a load run. */
final class LoadRequest {
  /** State of a request. */
  enum Phase {
    /** Queued until a connection is available. */
    WAITING,
    /** Written to a connection. */
    SENT,
    /** Answered or abandoned. */
    DONE
  }

  private final long intendedAt;
  private final boolean counted;
  private final String echoId;
  private Phase phase = Phase.WAITING;

  LoadRequest(long intendedAt, boolean counted, String echoId) {
    this.intendedAt = intendedAt;
    this.counted = counted;
    this.echoId = echoId;
  }

  long intendedAt() {
    return intendedAt;
  }

  /** Returns whether the intended send time is in the measured period, after the warm-up. */
  boolean isCounted() {
    return counted;
  }

  /** Returns the unique id that the response must echo, or null if none is sent. */
  String echoId() {
    return echoId;
  }

  Phase phase() {
    return phase;
  }

  void setPhase(Phase changed) {
    phase = changed;
  }
}
