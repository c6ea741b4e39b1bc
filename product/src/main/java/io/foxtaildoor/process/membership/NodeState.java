package io.foxtaildoor.process.membership;

/**
 * State of a node in its record; at the same incarnation a later constant overrides an earlier one.
 */
public enum NodeState {
  /** The node answers probes. */
  ALIVE,
  /** The node did not answer a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /** The node has announced that it will stop, and gets no new work. */
  LEAVING,
  /** The node did not refute a suspicion in time. */
  DEAD,
  /** The node stopped as announced. */
  LEFT;

  /** Whether new requests may be sent to the node. */
  public boolean acceptsWork() {
    return this == ALIVE || this == SUSPECT;
  }
}
