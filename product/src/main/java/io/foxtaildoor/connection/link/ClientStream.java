package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.protocol.BodyChunk;
import io.foxtaildoor.protocol.CancelStream;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;

/** The caller's end of a stream; its state is confined to the event loop of the node's links. */
final class ClientStream implements RequestStream {
  private final EventLoop loop;
  private final RequestStart head;
  private final ResponseListener listener;
  private final SendBuffer body = new SendBuffer();
  private final ReceiveWindow window = new ReceiveWindow();
  private ClientLink link;
  private long id;
  private boolean headSent;
  private boolean headWriteFailed;
  private boolean responseStarted;
  private boolean finished;
  private volatile boolean writable = true;

  ClientStream(EventLoop loop, RequestStart head, ResponseListener listener) {
    this.loop = loop;
    this.head = head;
    this.listener = listener;
    if (head.getEnd()) {
      body.release();
    }
  }

  /** Waits for the handshake of a link. */
  void attachTo(ClientLink newLink) {
    link = newLink;
  }

  boolean isFinished() {
    return finished;
  }

  /** Sends the head and what waits of the body. */
  void start(long newId) {
    id = newId;
    headSent = true;
    link.write(Frame.newBuilder().setRequestStart(head.toBuilder().setStream(id)).build())
        .addListener(written -> onHeadWritten(written.isSuccess()));
    sendBuffered();
  }

  private void onHeadWritten(boolean success) {
    headWriteFailed = !success;
    if (!success && !finished && link.isOpen()) {
      // The link still works, so the frame itself could not be encoded.
      finishAndRemove();
      fail(ErrorKind.INVALID_INPUT, true, "request head is too large");
    }
  }

  @Override
  public void send(ByteBuf data, boolean end) {
    runOnLoop(
        () -> {
          if (finished) {
            data.release();
          } else if (!body.add(data, end)) {
            cancelAndNotify("request body is sent faster than it is taken");
            LinkFailures.runCallback(
                () ->
                    listener.onFailure(
                        LinkFailures.of(ErrorKind.INTERNAL, !headSent, "buffer limit")));
          } else {
            sendBuffered();
          }
        });
  }

  /** Sends what the window and the link admit. */
  void sendBuffered() {
    if (headSent && !finished) {
      boolean more = link.isWritable();
      while (more) {
        more = body.sendNext(id, this::sendChunk) && link.isWritable();
      }
    }
    boolean below = body.isBelowHighWaterMark() && (!headSent || link.isWritable());
    if (below && !writable && !finished) {
      writable = true;
      LinkFailures.runCallback(() -> listener.onWritable());
    } else {
      writable = below;
    }
  }

  private void sendChunk(BodyChunk chunk) {
    link.send(Frame.newBuilder().setRequestBody(chunk).build());
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public void consumed(int bytes) {
    runOnLoop(
        () -> {
          int granted = window.consume(bytes);
          if (granted > 0 && !finished && headSent) {
            link.sendWindowUpdate(id, granted);
          }
        });
  }

  @Override
  public void cancel(String reason) {
    runOnLoop(
        () -> {
          if (!finished) {
            cancelAndNotify(reason);
          }
        });
  }

  /** Forgets the stream and tells the other node when it may know of it. */
  private void cancelAndNotify(String reason) {
    ClientLink last = link;
    boolean known = headSent;
    finish();
    if (last != null) {
      last.remove(this);
      if (known && last.isOpen()) {
        CancelStream cancel = CancelStream.newBuilder().setStream(id).setReason(reason).build();
        last.send(Frame.newBuilder().setCancel(cancel).build());
      }
    }
  }

  /** Takes the head of the answer; gives a detail when the frame breaks the protocol. */
  String receiveStart(ResponseStart answer) {
    if (responseStarted) {
      return "second response head on stream " + id;
    }
    responseStarted = true;
    if (answer.getEnd()) {
      finishAndRemove();
    }
    LinkFailures.runCallback(() -> listener.onResponseStart(answer));
    return null;
  }

  /** Whether an answer names the request of this stream. */
  boolean matchesRequest(ResponseStart answer) {
    for (Header header : answer.getHeadersList()) {
      if (header.getName().equalsIgnoreCase(HeaderNames.REQUEST_ID)) {
        return header.getValue().equals(head.getRequestId());
      }
    }
    return true;
  }

  /** Takes a part of the answer; gives a detail when the frame breaks the protocol. */
  String receiveBody(BodyChunk chunk) {
    int bytes = chunk.getData().size();
    if (!responseStarted) {
      return "response body before its head on stream " + id;
    }
    if (bytes > SendBuffer.MAX_CHUNK_BYTES || (bytes == 0 && !chunk.getEnd())) {
      return "body chunk of " + bytes + " bytes on stream " + id;
    }
    if (!window.receive(bytes)) {
      return "window exceeded on stream " + id;
    }
    if (chunk.getEnd()) {
      finishAndRemove();
    }
    LinkFailures.runCallback(
        () ->
            listener.onBody(
                Unpooled.wrappedBuffer(chunk.getData().asReadOnlyByteBuffer()), chunk.getEnd()));
    return null;
  }

  /** Adds to the window; gives a detail when the frame breaks the protocol. */
  String receiveWindowUpdate(int bytes) {
    if (!body.grant(bytes)) {
      return "window update of " + bytes + " bytes on stream " + id;
    }
    sendBuffered();
    return null;
  }

  /** Takes the refusal or failure that the other node reports. */
  void receiveFailure(StreamFailure failure) {
    finishAndRemove();
    LinkFailures.runCallback(() -> listener.onFailure(failure));
  }

  /** The link broke; what is known of the request depends on what was written. */
  void onLinkClosed(String reason) {
    if (!finished) {
      boolean notRun = !headSent || headWriteFailed;
      ErrorKind kind = notRun ? ErrorKind.NODE_UNREACHABLE : ErrorKind.OUTCOME_UNKNOWN;
      fail(kind, notRun, reason);
    }
  }

  /** Ends the stream with a failure that was found on this side. */
  void fail(ErrorKind kind, boolean notRun, String detail) {
    finish();
    LinkFailures.runCallback(() -> listener.onFailure(LinkFailures.of(kind, notRun, detail)));
  }

  private void finishAndRemove() {
    link.remove(this);
    finish();
  }

  private void finish() {
    finished = true;
    writable = false;
    body.release();
  }

  long id() {
    return id;
  }

  String requestId() {
    return head.getRequestId();
  }

  private void runOnLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }
}
