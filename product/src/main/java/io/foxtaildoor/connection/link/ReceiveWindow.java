package io.foxtaildoor.connection.link;

/** Counts what the other side may still send on a stream; used on one event loop. */
final class ReceiveWindow {
  /** Updates are gathered up to this size, so that small reads do not cause a frame each. */
  private static final int MIN_UPDATE_BYTES = SendBuffer.WINDOW_BYTES / 4;

  private int available = SendBuffer.WINDOW_BYTES;
  private int unconsumed;
  private int consumedSinceUpdate;

  /** Counts received bytes; gives false when they exceed the window. */
  boolean receive(int bytes) {
    if (bytes > available) {
      return false;
    }
    available -= bytes;
    unconsumed += bytes;
    return true;
  }

  /** Counts consumed bytes and gives the bytes to grant now; 0 when none. */
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
