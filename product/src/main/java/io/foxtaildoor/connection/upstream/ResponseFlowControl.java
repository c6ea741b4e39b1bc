package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.link.ResponseStream;
import io.netty.channel.EventLoop;

/**
 * Stops reading from the upstream while the stream takes no more of the answer. Parts of the answer
 * pass from the event loop of the server to that of the link, so what is on the way counts too.
 */
final class ResponseFlowControl {
  /** Answer bytes on the way to the link's event loop at which reading stops. */
  private static final int MAX_PENDING_BYTES = 64 << 10;

  private final UpstreamConnection connection;
  private final ResponseStream response;
  private final EventLoop loop;
  private final Runnable onPartTaken;
  private int pendingBytes;

  /**
   * Creates the flow of one exchange.
   *
   * @param taken runs on the event loop of the server when the link took a part
   */
  ResponseFlowControl(
      UpstreamConnection connection, ResponseStream response, EventLoop loop, Runnable taken) {
    this.connection = connection;
    this.response = response;
    this.loop = loop;
    this.onPartTaken = taken;
  }

  /** Counts a part that was given to the stream. */
  void partForwarded(int bytes) {
    pendingBytes += bytes;
    if (!hasRoom()) {
      connection.setReading(false);
    }
    response.eventLoop().execute(() -> loop.execute(() -> partTaken(bytes)));
  }

  private void partTaken(int bytes) {
    pendingBytes -= bytes;
    onPartTaken.run();
  }

  private boolean hasRoom() {
    return pendingBytes <= MAX_PENDING_BYTES && response.isWritable();
  }

  /** Reads again when there is room; true when reading was stopped before. */
  boolean resumeReading() {
    if (connection.isReading() || !hasRoom()) {
      return false;
    }
    connection.setReading(true);
    return true;
  }
}
