package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.link.ResponseStream;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;

/**
 * The request body between the stream and the upstream. Bytes count as consumed when the upstream's
 * socket took them, so at most one window of the stream waits here.
 */
final class RequestBody {
  private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
  private final long limit;
  private final ResponseStream stream;
  private long declaredLength = HttpHeadConverter.UNKNOWN_LENGTH;
  private long received;
  private boolean endReceived;
  private boolean endWritten;
  private boolean awaitsContinue;

  RequestBody(boolean empty, long limit, ResponseStream stream) {
    this.limit = limit;
    this.stream = stream;
    this.endReceived = empty;
    this.endWritten = empty;
  }

  /** Takes the declared length. */
  void setDeclaredLength(long length) {
    declaredLength = length;
  }

  /** Takes the wish of the caller to wait for the upstream's consent. */
  void readExpectHeader(HttpHeaders headers) {
    awaitsContinue =
        headers.contains(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true) && !endWritten;
  }

  /** Queues a part; gives the kind of failure when the body breaks its bounds. */
  ErrorKind add(ByteBuf data, boolean end) {
    received += data.readableBytes();
    pendingParts.add(data);
    endReceived = end;
    if (received > limit) {
      return ErrorKind.BODY_TOO_LARGE;
    }
    boolean wrong = received > declaredLength || (end && received != declaredLength);
    return declaredLength != HttpHeadConverter.UNKNOWN_LENGTH && wrong
        ? ErrorKind.INVALID_INPUT
        : null;
  }

  /** Whether the body waits for {@code 100 Continue}. */
  boolean awaitsContinue() {
    return awaitsContinue;
  }

  /** The body need not wait any more. */
  void stopAwaitingContinue() {
    awaitsContinue = false;
  }

  /** A final answer is here: a body that was not asked for is not sent any more. */
  void finalResponseReceived() {
    if (awaitsContinue) {
      discard();
    }
  }

  /** Whether the upstream waits for bytes that the caller has not sent yet. */
  boolean awaitsCallerData() {
    return pendingParts.isEmpty() && !endReceived;
  }

  /** Writes what the connection admits; the action runs when bytes were taken. */
  void writeTo(UpstreamConnection connection, Runnable progress) {
    if (awaitsContinue || endWritten) {
      return;
    }
    while (!pendingParts.isEmpty() && connection.isWritable()) {
      ByteBuf data = pendingParts.remove();
      int bytes = data.readableBytes();
      connection.writeBody(
          data,
          () -> {
            stream.consumed(bytes);
            progress.run();
          });
    }
    if (pendingParts.isEmpty() && endReceived && !endWritten) {
      endWritten = true;
      connection.writeEnd();
    }
  }

  /** Drops what waits. */
  void discard() {
    pendingParts.forEach(ByteBuf::release);
    pendingParts.clear();
    endWritten = true;
  }
}
