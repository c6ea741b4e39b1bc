package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.protocol.ResponseStart;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Holds the begin of an answer back until it is complete or larger than a limit. */
final class HeldAnswer {
  private final int limit;
  private final ResponseStream response;
  private ResponseStart head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean passing;

  HeldAnswer(int limit, ResponseStream response) {
    this.limit = limit;
    this.response = response;
  }

  /** Takes the head of the answer. */
  void start(ResponseStart start) {
    head = start;
    if (limit == 0) {
      pass();
    }
  }

  /** Whether the answer, or a part of it, was passed on. */
  boolean isPassing() {
    return passing;
  }

  /** Takes a part of the body, which stays owned by the caller. */
  void add(ByteBuf data, boolean end) {
    if (!passing && end) {
      passing = true;
      response.sendResponse(head, body.isReadable() ? hold(data) : data.retainedDuplicate());
      return;
    }
    if (!passing && body.readableBytes() + data.readableBytes() > limit) {
      pass();
    }
    if (passing) {
      send(data, end);
    } else if (data.isReadable()) {
      body = hold(data);
    }
  }

  /** The held body with another part. */
  private ByteBuf hold(ByteBuf data) {
    ByteBuf joined = body.capacity() == 0 ? Unpooled.buffer(data.readableBytes()) : body;
    return joined.writeBytes(data, data.readerIndex(), data.readableBytes());
  }

  private void pass() {
    passing = true;
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
