package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.link.RequestStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/** Body of one request as far as it arrived; holds it for a retry while it is small enough. */
final class RequestBody {
  private final boolean present;
  private final long maxBytes;
  private final int replayLimit;
  private final ReplayMemory memory;
  private final List<ByteBuf> held = new ArrayList<>();
  private int heldBytes;
  private long bytes;
  private boolean whole = true;
  private boolean ended;

  /**
   * Creates a body of which nothing has arrived yet.
   *
   * @param present whether the request has a body at all
   * @param maxBytes largest body that the route admits
   * @param replayLimit largest part in bytes that is held for a retry
   * @param memory bound on what all bodies hold
   */
  RequestBody(boolean present, long maxBytes, int replayLimit, ReplayMemory memory) {
    this.memory = memory;
    this.present = present;
    this.maxBytes = maxBytes;
    this.replayLimit = replayLimit;
    this.ended = !present;
  }

  boolean isPresent() {
    return present;
  }

  boolean isEnded() {
    return ended;
  }

  /** Whether everything that arrived is still held. */
  boolean isReplayable() {
    return whole;
  }

  /** Counts and holds a part, which stays owned by the caller; false when it is too large. */
  boolean add(ByteBuf part, boolean end) {
    bytes += part.readableBytes();
    if (bytes > maxBytes) {
      return false;
    }
    ended = end;
    if (whole && part.isReadable()) {
      hold(part);
    }
    return true;
  }

  private void hold(ByteBuf part) {
    int size = part.readableBytes();
    if (size <= replayLimit - heldBytes && memory.tryReserve(size)) {
      heldBytes += size;
      held.add(part.retainedDuplicate());
    } else {
      whole = false;
      release();
    }
  }

  /** Sends what is held to a newly opened stream. */
  void replayTo(RequestStream stream) {
    for (int i = 0; i < held.size(); i++) {
      stream.send(held.get(i).retainedDuplicate(), ended && i == held.size() - 1);
    }
    if (present && ended && held.isEmpty()) {
      stream.send(Unpooled.EMPTY_BUFFER, true);
    }
  }

  /** Drops what is held. */
  void release() {
    held.forEach(ByteBuf::release);
    held.clear();
    memory.release(heldBytes);
    heldBytes = 0;
  }
}
