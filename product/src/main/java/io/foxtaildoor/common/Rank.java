package io.foxtaildoor.common;

/** Urgency of a kind of work, most urgent first. */
public enum Rank {
  /** Work a person waits for with a client present. */
  URGENT,
  /** Work that other work waits for. */
  HIGH,
  /** Ordinary work. */
  NORMAL,
  /** Work that can wait, such as audits. */
  LOW;

  private static final Rank[] VALUES = values();

  /** Number of ranks. */
  public static final int COUNT = VALUES.length;

  /** Returns the rank with an ordinal. */
  public static Rank of(int ordinal) {
    return VALUES[ordinal];
  }
}
