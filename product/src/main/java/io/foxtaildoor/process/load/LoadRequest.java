package io.foxtaildoor.process.load;

/** One request of a run. */
final class LoadRequest {
  /** Progress of a request. */
  enum Phase {
    /** Waits for a free connection. */
    WAITING,
    /** Written to a connection. */
    SENT,
    /** Answered or given up. */
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

  /** Whether the request falls into the measured time. */
  boolean isCounted() {
    return counted;
  }

  /** Returns the unique id that the answer must repeat, or null. */
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
