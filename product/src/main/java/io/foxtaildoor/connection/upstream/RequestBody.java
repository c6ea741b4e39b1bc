package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.link.ResponseStream;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;

/**
 * Buffers the request body between the stream and the upstream. Bytes count as consumed only when
 * they were written to the upstream's socket, so at most one flow-control window of the stream is
 * buffered here.
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

  /** Sets the length that the request declares, or {@link HttpHeadConverter#UNKNOWN_LENGTH}. */
  void setDeclaredLength(long length) {
    declaredLength = length;
  }

  /** Holds the body back if the caller sent {@code Expect: 100-continue}. */
  void readExpectHeader(HttpHeaders headers) {
    awaitsContinue =
        headers.contains(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true) && !endWritten;
  }

  /**
   * Queues a part of the body.
   *
   * @return the kind of failure if the body exceeds the size limit or does not match its declared
   *     length; otherwise null
   */
  ErrorKind add(ByteBuf data, boolean end) {
    received += data.readableBytes();
    pendingParts.add(data);
    endReceived = end;
    if (received > limit) {
      return ErrorKind.BODY_TOO_LARGE;
    }
    boolean lengthMismatch = received > declaredLength || (end && received != declaredLength);
    return declaredLength != HttpHeadConverter.UNKNOWN_LENGTH && lengthMismatch
        ? ErrorKind.INVALID_INPUT
        : null;
  }

  /** Whether the body waits for {@code 100 Continue}. */
  boolean awaitsContinue() {
    return awaitsContinue;
  }

  /** Allows the body to be sent without a further wait for {@code 100 Continue}. */
  void stopAwaitingContinue() {
    awaitsContinue = false;
  }

  /**
   * The final response arrived. A body that still waits for {@code 100 Continue} is discarded,
   * because the upstream did not ask for it.
   */
  void finalResponseReceived() {
    if (awaitsContinue) {
      discard();
    }
  }

  /** Whether the upstream waits for bytes that the caller has not sent yet. */
  boolean awaitsCallerData() {
    return pendingParts.isEmpty() && !endReceived;
  }

  /**
   * Writes as much of the body as the connection accepts.
   *
   * @param progress runs whenever a part was written to the socket
   */
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

  /** Releases the queued parts; nothing more of the body is sent. */
  void discard() {
    pendingParts.forEach(ByteBuf::release);
    pendingParts.clear();
    endWritten = true;
  }
}
