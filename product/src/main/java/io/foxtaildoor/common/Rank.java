package io.foxtaildoor.common;

/** Priority class of requests, most urgent first. */
public enum Rank {
  /** Work that a person waits for, with a client present. */
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

  /** Returns the rank with the given ordinal. */
  public static Rank of(int ordinal) {
    return VALUES[ordinal];
  }
}
