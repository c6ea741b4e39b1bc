package io.foxtaildoor.process.membership;

/** State of a node as the fleet knows it; a later constant overrides an earlier one. */
public enum NodeState {
  /** Answers probes. */
  ALIVE,
  /** Missed a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /** Announced that it stops; gets no new work. */
  LEAVING,
  /** Did not refute a suspicion in time. */
  DEAD,
  /** Stopped as announced. */
  LEFT;

  /** Whether new requests may be sent to the node. */
  public boolean acceptsWork() {
    return this == ALIVE || this == SUSPECT;
  }
}
