package io.foxtaildoor.connection.link;

/** Flow control window for the received body bytes of one stream. Confined to one event loop. */
final class ReceiveWindow {
  /**
   * Consumed bytes that are collected before a window update is sent, so that small reads do not
   * cause one frame each.
   */
  private static final int MIN_UPDATE_BYTES = SendBuffer.WINDOW_BYTES / 4;

  private int available = SendBuffer.WINDOW_BYTES;
  private int unconsumed;
  private int consumedSinceUpdate;

  /** Deducts received bytes from the window; returns false when they exceed it. */
  boolean receive(int bytes) {
    if (bytes > available) {
      return false;
    }
    available -= bytes;
    unconsumed += bytes;
    return true;
  }

  /** Counts consumed bytes; returns the bytes to grant in a window update now, or 0. */
  int consume(int bytes) {
    int counted = Math.min(Math.max(bytes, 0), unconsumed);
    unconsumed -= counted;
    consumedSinceUpdate += counted;
    if (consumedSinceUpdate < MIN_UPDATE_BYTES) {
      return 0;
    }
    int granted = consumedSinceUpdate;
    consumedSinceUpdate = 0;
    available += granted;
    return granted;
  }
}
