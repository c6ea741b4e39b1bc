package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.link.RequestStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the body of one request as it arrives and buffers it for a retry while it is small enough.
 */
final class RequestBody {
  private final boolean present;
  private final long maxBytes;
  private final int maxReplayBytes;
  private final ReplayBufferBudget replayBudget;
  private final List<ByteBuf> buffered = new ArrayList<>();
  private int bufferedBytes;
  private long receivedBytes;
  private boolean fullyBuffered = true;
  private boolean ended;

  /**
   * Creates a body of which no data has arrived yet.
   *
   * @param present whether the request has a body at all
   * @param maxBytes largest body in bytes that the route accepts
   * @param maxReplayBytes largest number of bytes that this request buffers for a retry
   * @param replayBudget limit that all request bodies share
   */
  RequestBody(boolean present, long maxBytes, int maxReplayBytes, ReplayBufferBudget replayBudget) {
    this.replayBudget = replayBudget;
    this.present = present;
    this.maxBytes = maxBytes;
    this.maxReplayBytes = maxReplayBytes;
    this.ended = !present;
  }

  boolean isPresent() {
    return present;
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns whether all data that has arrived is still buffered. */
  boolean isReplayable() {
    return fullyBuffered;
  }

  /**
   * Counts a part of the body and buffers it for a retry. The calling code keeps ownership of the
   * part.
   *
   * @return false if the body exceeds the size that the route accepts
   */
  boolean add(ByteBuf part, boolean end) {
    receivedBytes += part.readableBytes();
    if (receivedBytes > maxBytes) {
      return false;
    }
    ended = end;
    if (fullyBuffered && part.isReadable()) {
      buffer(part);
    }
    return true;
  }

  private void buffer(ByteBuf part) {
    int size = part.readableBytes();
    if (size <= maxReplayBytes - bufferedBytes && replayBudget.tryReserve(size)) {
      bufferedBytes += size;
      buffered.add(part.retainedDuplicate());
    } else {
      fullyBuffered = false;
      release();
    }
  }

  /** Sends the buffered data to a newly opened stream. */
  void replayTo(RequestStream stream) {
    for (int i = 0; i < buffered.size(); i++) {
      stream.send(buffered.get(i).retainedDuplicate(), ended && i == buffered.size() - 1);
    }
    if (present && ended && buffered.isEmpty()) {
      stream.send(Unpooled.EMPTY_BUFFER, true);
    }
  }

  /** Releases the buffered data. */
  void release() {
    buffered.forEach(ByteBuf::release);
    buffered.clear();
    replayBudget.release(bufferedBytes);
    bufferedBytes = 0;
  }
}
