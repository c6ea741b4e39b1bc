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
  private boolean headIssued;
  private boolean headRefusedBySocket;
  private boolean started;
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
  void attach(ClientLink newLink) {
    link = newLink;
  }

  boolean isFinished() {
    return finished;
  }

  /** Sends the head and what waits of the body. */
  void begin(long newId) {
    id = newId;
    headIssued = true;
    link.write(Frame.newBuilder().setRequestStart(head.toBuilder().setStream(id)).build())
        .addListener(written -> headWritten(written.isSuccess()));
    drain();
  }

  private void headWritten(boolean success) {
    headRefusedBySocket = !success;
    if (!success && !finished && link.isOpen()) {
      // The link still works, so the frame itself could not be encoded.
      complete();
      fail(ErrorKind.INVALID_INPUT, true, "request head is too large");
    }
  }

  @Override
  public void send(ByteBuf data, boolean end) {
    onLoop(
        () -> {
          if (finished) {
            data.release();
          } else if (!body.add(data, end)) {
            giveUp("request body is sent faster than it is taken");
            LinkFailures.guard(
                () ->
                    listener.failed(
                        LinkFailures.of(ErrorKind.INTERNAL, !headIssued, "buffer limit")));
          } else {
            drain();
          }
        });
  }

  /** Sends what the window and the link admit. */
  void drain() {
    if (headIssued && !finished) {
      boolean more = link.hasRoom();
      while (more) {
        more = body.sendNext(id, this::sendChunk) && link.hasRoom();
      }
    }
    boolean below = body.belowHighWater() && (!headIssued || link.hasRoom());
    if (below && !writable && !finished) {
      writable = true;
      LinkFailures.guard(() -> listener.writable());
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
    onLoop(
        () -> {
          int granted = window.consume(bytes);
          if (granted > 0 && !finished && headIssued) {
            link.grant(id, granted);
          }
        });
  }

  @Override
  public void cancel(String reason) {
    onLoop(
        () -> {
          if (!finished) {
            giveUp(reason);
          }
        });
  }

  /** Forgets the stream and tells the other node when it may know of it. */
  private void giveUp(String reason) {
    ClientLink last = link;
    boolean known = headIssued;
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
    if (started) {
      return "second response head on stream " + id;
    }
    started = true;
    if (answer.getEnd()) {
      complete();
    }
    LinkFailures.guard(() -> listener.started(answer));
    return null;
  }

  /** Whether an answer names the request of this stream. */
  boolean answeredBy(ResponseStart answer) {
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
    if (!started) {
      return "response body before its head on stream " + id;
    }
    if (bytes > SendBuffer.CHUNK_BYTES || (bytes == 0 && !chunk.getEnd())) {
      return "body chunk of " + bytes + " bytes on stream " + id;
    }
    if (!window.receive(bytes)) {
      return "window exceeded on stream " + id;
    }
    if (chunk.getEnd()) {
      complete();
    }
    LinkFailures.guard(
        () ->
            listener.body(
                Unpooled.wrappedBuffer(chunk.getData().asReadOnlyByteBuffer()), chunk.getEnd()));
    return null;
  }

  /** Adds to the window; gives a detail when the frame breaks the protocol. */
  String receiveGrant(int bytes) {
    if (!body.grant(bytes)) {
      return "window update of " + bytes + " bytes on stream " + id;
    }
    drain();
    return null;
  }

  /** Takes the refusal or failure that the other node reports. */
  void receiveFailure(StreamFailure failure) {
    complete();
    LinkFailures.guard(() -> listener.failed(failure));
  }

  /** The link broke; what is known of the request depends on what was written. */
  void linkBroke(String reason) {
    if (!finished) {
      boolean notRun = !headIssued || headRefusedBySocket;
      ErrorKind kind = notRun ? ErrorKind.NODE_UNREACHABLE : ErrorKind.OUTCOME_UNKNOWN;
      fail(kind, notRun, reason);
    }
  }

  /** Ends the stream with a failure that was found on this side. */
  void fail(ErrorKind kind, boolean notRun, String detail) {
    finish();
    LinkFailures.guard(() -> listener.failed(LinkFailures.of(kind, notRun, detail)));
  }

  private void complete() {
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

  private void onLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }
}
