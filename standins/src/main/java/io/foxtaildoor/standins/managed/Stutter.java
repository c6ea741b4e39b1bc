package io.foxtaildoor.standins.managed;

/** Whether and when an instance writes a second answer for a run after its first one. */
public enum Stutter {
  /** Writes no second answer. */
  NONE,

  /** Follows a success with a second one, directly before the next answer on the connection. */
  BEFORE_NEXT_ANSWER,

  /**
   * Follows a success with a failure and a failure with a success, directly before the next answer
   * on the connection.
   */
  WITH_OTHER_STATUS,

  /**
   * Follows a success with the start of a second one, up to the middle of its signature, directly
   * before the next answer on the connection.
   */
  BROKEN_OFF,

  /** Follows a success with a second one after a short time, in which the connection is idle. */
  WHILE_IDLE
}
