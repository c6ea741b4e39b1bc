package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.protocol.ResponseStart;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers a response until it is complete, and forwards it as a whole. If it exceeds the limit
 * before its last part arrives, its parts are forwarded as they arrive.
 */
final class BufferedResponse {
  private final int limit;
  private final ResponseStream response;
  private ResponseStart head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean forwarding;

  BufferedResponse(int limit, ResponseStream response) {
    this.limit = limit;
    this.response = response;
  }

  /** Buffers the head of the response, or forwards it if the limit is 0. */
  void start(ResponseStart start) {
    head = start;
    if (limit == 0) {
      startForwarding();
    }
  }

  /** Whether the response, or a part of it, was forwarded. */
  boolean isForwarding() {
    return forwarding;
  }

  /** Adds a part of the body; the caller keeps the ownership of {@code data}. */
  void add(ByteBuf data, boolean end) {
    if (!forwarding && end) {
      forwarding = true;
      response.sendResponse(
          head, body.isReadable() ? appendToBuffer(data) : data.retainedDuplicate());
      return;
    }
    if (!forwarding && body.readableBytes() + data.readableBytes() > limit) {
      startForwarding();
    }
    if (forwarding) {
      send(data, end);
    } else if (data.isReadable()) {
      body = appendToBuffer(data);
    }
  }

  /** Returns the buffered body with another part appended. */
  private ByteBuf appendToBuffer(ByteBuf data) {
    ByteBuf joined = body.capacity() == 0 ? Unpooled.buffer(data.readableBytes()) : body;
    return joined.writeBytes(data, data.readerIndex(), data.readableBytes());
  }

  private void startForwarding() {
    forwarding = true;
    response.start(head);
    if (body.isReadable()) {
      response.send(body, false);
      body = Unpooled.EMPTY_BUFFER;
    }
  }

  private void send(ByteBuf data, boolean end) {
    if (data.isReadable()) {
      response.send(data.retainedDuplicate(), end);
    } else if (end) {
      response.send(Unpooled.EMPTY_BUFFER, true);
    }
  }
}
