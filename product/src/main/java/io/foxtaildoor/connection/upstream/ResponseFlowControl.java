package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.link.ResponseStream;
import io.netty.channel.EventLoop;

/**
 * Pauses reading from the upstream while the stream cannot accept more of the response. Parts of
 * the response are passed from the server's event loop to the link's event loop, so the bytes that
 * are still queued between the two loops count against the limit too.
 */
final class ResponseFlowControl {
  /** Reading pauses when more response bytes than this are queued for the link's event loop. */
  private static final int MAX_PENDING_BYTES = 64 << 10;

  private final UpstreamConnection connection;
  private final ResponseStream response;
  private final EventLoop loop;
  private final Runnable onPartTaken;
  private int pendingBytes;

  /**
   * Creates the flow control of one exchange.
   *
   * @param onPartTaken runs on the server's event loop whenever the link has accepted a part
   */
  ResponseFlowControl(
      UpstreamConnection connection,
      ResponseStream response,
      EventLoop loop,
      Runnable onPartTaken) {
    this.connection = connection;
    this.response = response;
    this.loop = loop;
    this.onPartTaken = onPartTaken;
  }

  /** Counts a part that was passed to the stream, and pauses reading if the stream is full. */
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

  /**
   * Resumes reading if the stream accepts more data.
   *
   * @return true if reading was paused and is now resumed
   */
  boolean resumeReading() {
    if (connection.isReading() || !hasRoom()) {
      return false;
    }
    connection.setReading(true);
    return true;
  }
}
