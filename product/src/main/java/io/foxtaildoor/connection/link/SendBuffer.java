package io.foxtaildoor.connection.link;

import com.google.protobuf.ByteString;
import io.foxtaildoor.protocol.BodyChunk;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Buffers the body bytes of one direction of a stream until the flow control window admits them.
 * Confined to one event loop.
 */
final class SendBuffer {
  /** Flow control window of a stream in each direction, in bytes. */
  static final int WINDOW_BYTES = 64 * 1024;

  /** Maximum size of a body chunk; small enough to interleave chunks of other streams. */
  static final int MAX_CHUNK_BYTES = 16 * 1024;

  /** Buffered bytes at which the sender is told to stop. */
  static final int HIGH_WATER_MARK_BYTES = WINDOW_BYTES;

  /** Maximum buffered bytes; the stream fails when its sender exceeds them. */
  static final int MAX_PENDING_BYTES = 1 << 20;

  private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();
  private int pendingBytes;
  private int window = WINDOW_BYTES;
  private boolean endQueued;
  private boolean endSent;

  /** Buffers data and takes ownership of it; returns false when the buffer exceeds its limit. */
  boolean add(ByteBuf data, boolean end) {
    if (endQueued) {
      data.release();
      return true;
    }
    endQueued = end;
    if (data.isReadable()) {
      pendingBytes += data.readableBytes();
      pending.add(data);
    } else {
      data.release();
    }
    return pendingBytes <= MAX_PENDING_BYTES;
  }

  /** Passes the next chunk that the window admits to the sink; returns false if there is none. */
  boolean sendNext(long stream, Consumer<BodyChunk> sink) {
    if (endSent) {
      return false;
    }
    int bytes = Math.min(Math.min(pendingBytes, window), MAX_CHUNK_BYTES);
    boolean last = endQueued && bytes == pendingBytes;
    if (bytes == 0 && !last) {
      return false;
    }
    ByteString data = take(bytes);
    window -= bytes;
    endSent = last;
    sink.accept(BodyChunk.newBuilder().setStream(stream).setData(data).setEnd(last).build());
    return true;
  }

  private ByteString take(int bytes) {
    byte[] taken = new byte[bytes];
    int offset = 0;
    while (offset < bytes) {
      ByteBuf first = pending.element();
      int part = Math.min(bytes - offset, first.readableBytes());
      first.readBytes(taken, offset, part);
      offset += part;
      if (!first.isReadable()) {
        pending.remove().release();
      }
    }
    pendingBytes -= bytes;
    return ByteString.copyFrom(taken);
  }

  /** Enlarges the window; returns false when it would exceed its full size. */
  boolean grant(int bytes) {
    if (bytes <= 0 || bytes > WINDOW_BYTES - window) {
      return false;
    }
    window += bytes;
    return true;
  }

  boolean isBelowHighWaterMark() {
    return pendingBytes < HIGH_WATER_MARK_BYTES;
  }

  /** Whether the whole body was passed to the sink. */
  boolean isEndSent() {
    return endSent;
  }

  /** Discards the buffered bytes and accepts no more. */
  void release() {
    pending.forEach(ByteBuf::release);
    pending.clear();
    pendingBytes = 0;
    endQueued = true;
    endSent = true;
  }
}
