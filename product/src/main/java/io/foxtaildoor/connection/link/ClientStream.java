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

/**
 * The caller's end of a stream. Its state is confined to the event loop that all links to the
 * target node use.
 */
final class ClientStream implements RequestStream {
  private final EventLoop loop;
  private final RequestStart head;
  private final ResponseListener listener;
  private final SendBuffer sendBuffer = new SendBuffer();
  private final ReceiveWindow receiveWindow = new ReceiveWindow();
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
      sendBuffer.release();
    }
  }

  /** Assigns the link that the stream will be sent on. */
  void attachTo(ClientLink newLink) {
    link = newLink;
  }

  boolean isFinished() {
    return finished;
  }

  /** Sends the request head and the part of the body buffered so far. */
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
      // The link is still open, so the frame itself could not be encoded.
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
          } else if (!sendBuffer.add(data, end)) {
            cancelAndNotify("request body exceeded the send buffer limit");
            LinkFailures.runCallback(
                () ->
                    listener.onFailure(
                        LinkFailures.of(
                            ErrorKind.INTERNAL,
                            !headSent,
                            "request body exceeded the send buffer limit")));
          } else {
            sendBuffered();
          }
        });
  }

  /** Sends buffered body chunks as far as the flow control window and the link allow. */
  void sendBuffered() {
    if (headSent && !finished) {
      boolean more = link.isWritable();
      while (more) {
        more = sendBuffer.sendNext(id, this::sendChunk) && link.isWritable();
      }
    }
    boolean nowWritable = sendBuffer.isBelowHighWaterMark() && (!headSent || link.isWritable());
    if (nowWritable && !writable && !finished) {
      writable = true;
      LinkFailures.runCallback(() -> listener.onWritable());
    } else {
      writable = nowWritable;
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
          int granted = receiveWindow.consume(bytes);
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

  /** Ends the stream and sends a cancel frame if the other node may have received its head. */
  private void cancelAndNotify(String reason) {
    ClientLink usedLink = link;
    boolean mayBeKnown = headSent;
    finish();
    if (usedLink != null) {
      usedLink.remove(this);
      if (mayBeKnown && usedLink.isOpen()) {
        CancelStream cancel = CancelStream.newBuilder().setStream(id).setReason(reason).build();
        usedLink.send(Frame.newBuilder().setCancel(cancel).build());
      }
    }
  }

  /** Handles the response head; returns a description of a protocol violation, or null. */
  String receiveStart(ResponseStart response) {
    if (responseStarted) {
      return "second response head on stream " + id;
    }
    responseStarted = true;
    if (response.getEnd()) {
      finishAndRemove();
    }
    LinkFailures.runCallback(() -> listener.onResponseStart(response));
    return null;
  }

  /** Whether the response carries this stream's request id, or no request id at all. */
  boolean matchesRequest(ResponseStart response) {
    for (Header header : response.getHeadersList()) {
      if (header.getName().equalsIgnoreCase(HeaderNames.REQUEST_ID)) {
        return header.getValue().equals(head.getRequestId());
      }
    }
    return true;
  }

  /** Handles a response body chunk; returns a description of a protocol violation, or null. */
  String receiveBody(BodyChunk chunk) {
    int bytes = chunk.getData().size();
    if (!responseStarted) {
      return "response body before its head on stream " + id;
    }
    if (bytes > SendBuffer.MAX_CHUNK_BYTES || (bytes == 0 && !chunk.getEnd())) {
      return "body chunk of " + bytes + " bytes on stream " + id;
    }
    if (!receiveWindow.receive(bytes)) {
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

  /** Enlarges the send window; returns a description of a protocol violation, or null. */
  String receiveWindowUpdate(int bytes) {
    if (!sendBuffer.grant(bytes)) {
      return "window update of " + bytes + " bytes on stream " + id;
    }
    sendBuffered();
    return null;
  }

  /** Handles a refusal or failure reported by the other node. */
  void receiveFailure(StreamFailure failure) {
    finishAndRemove();
    LinkFailures.runCallback(() -> listener.onFailure(failure));
  }

  /**
   * Fails the stream because its link closed. The request is known not to have run if its head was
   * never written; otherwise the outcome is unknown.
   */
  void onLinkClosed(String reason) {
    if (!finished) {
      boolean notRun = !headSent || headWriteFailed;
      ErrorKind kind = notRun ? ErrorKind.NODE_UNREACHABLE : ErrorKind.OUTCOME_UNKNOWN;
      fail(kind, notRun, reason);
    }
  }

  /** Ends the stream with a failure detected on this node. */
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
    sendBuffer.release();
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
