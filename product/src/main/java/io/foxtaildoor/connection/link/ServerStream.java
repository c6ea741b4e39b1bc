package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.protocol.BodyChunk;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.protocol.WindowUpdate;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;

/** The responding end of a stream. Its state is confined to the event loop of its link. */
final class ServerStream implements ResponseStream {
  private final ServerLink link;
  private final EventLoop loop;
  private final long id;
  private final String requestId;
  private final SendBuffer sendBuffer = new SendBuffer();
  private final ReceiveWindow receiveWindow = new ReceiveWindow();
  private RequestListener listener;
  private boolean requestEnded;
  private boolean responseStarted;
  private boolean finished;
  private volatile boolean writable = true;

  ServerStream(ServerLink link, EventLoop loop, RequestStart head) {
    this.link = link;
    this.loop = loop;
    this.id = head.getStream();
    this.requestId = head.getRequestId();
    this.requestEnded = head.getEnd();
  }

  void setListener(RequestListener newListener) {
    listener = newListener;
  }

  long id() {
    return id;
  }

  @Override
  public void start(ResponseStart head) {
    runOnLoop(
        () -> {
          if (!finished && !responseStarted) {
            responseStarted = true;
            link.reply(Frame.newBuilder().setResponseStart(named(head)).build());
            if (head.getEnd()) {
              finish();
            }
          }
        });
  }

  /** Sets the stream id and the request id header, replacing any request id of the upstream. */
  private ResponseStart named(ResponseStart head) {
    ResponseStart.Builder response = head.toBuilder().setStream(id).clearHeaders();
    for (Header header : head.getHeadersList()) {
      if (!header.getName().equalsIgnoreCase(HeaderNames.REQUEST_ID)) {
        response.addHeaders(header);
      }
    }
    return response
        .addHeaders(Header.newBuilder().setName(HeaderNames.REQUEST_ID).setValue(requestId))
        .build();
  }

  @Override
  public void sendResponse(ResponseStart head, ByteBuf data) {
    runOnLoop(
        () -> {
          if (finished || responseStarted) {
            data.release();
            return;
          }
          responseStarted = true;
          link.queue(Frame.newBuilder().setResponseStart(named(head)).build());
          sendOnLoop(data, true);
          link.flush();
        });
  }

  @Override
  public void send(ByteBuf data, boolean end) {
    runOnLoop(() -> sendOnLoop(data, end));
  }

  private void sendOnLoop(ByteBuf data, boolean end) {
    if (finished || !responseStarted) {
      data.release();
    } else if (!sendBuffer.add(data, end)) {
      link.reply(failureFrame(LinkFailures.bodyBufferOverflow()));
      notifyCancelled("response body exceeded the send buffer limit");
      finish();
    } else {
      sendBuffered();
    }
  }

  /** Sends buffered body chunks as far as the flow control window and the link allow. */
  void sendBuffered() {
    if (finished) {
      return;
    }
    boolean more = link.isWritable();
    while (more) {
      more = sendBuffer.sendNext(id, this::sendChunk) && link.isWritable();
    }
    if (sendBuffer.isEndSent()) {
      finish();
      return;
    }
    boolean nowWritable = sendBuffer.isBelowHighWaterMark() && link.isWritable();
    boolean resumed = nowWritable && !writable;
    writable = nowWritable;
    if (resumed && listener != null) {
      LinkFailures.runCallback(listener::onWritable);
    }
  }

  private void sendChunk(BodyChunk chunk) {
    link.reply(Frame.newBuilder().setResponseBody(chunk).build());
  }

  @Override
  public void fail(StreamFailure failure) {
    runOnLoop(
        () -> {
          if (!finished) {
            link.reply(failureFrame(failure));
            finish();
          }
        });
  }

  private Frame failureFrame(StreamFailure failure) {
    return Frame.newBuilder().setFailure(failure.toBuilder().setStream(id)).build();
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
          if (granted > 0 && !finished && !requestEnded) {
            WindowUpdate update = WindowUpdate.newBuilder().setStream(id).setBytes(granted).build();
            link.reply(Frame.newBuilder().setWindowUpdate(update).build());
          }
        });
  }

  @Override
  public EventLoop eventLoop() {
    return loop;
  }

  /** Handles a request body chunk; returns a description of a protocol violation, or null. */
  String receiveBody(BodyChunk chunk) {
    int bytes = chunk.getData().size();
    if (requestEnded) {
      return "request body after its end on stream " + id;
    }
    if (bytes > SendBuffer.MAX_CHUNK_BYTES || (bytes == 0 && !chunk.getEnd())) {
      return "body chunk of " + bytes + " bytes on stream " + id;
    }
    if (!receiveWindow.receive(bytes)) {
      return "window exceeded on stream " + id;
    }
    requestEnded = chunk.getEnd();
    ByteBuf data = Unpooled.wrappedBuffer(chunk.getData().asReadOnlyByteBuffer());
    LinkFailures.runCallback(() -> listener.onBody(data, requestEnded));
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

  /** Ends the stream after the caller cancelled it or the link closed. */
  void cancel(String reason) {
    if (!finished) {
      finish();
      notifyCancelled(reason);
    }
  }

  private void notifyCancelled(String reason) {
    if (listener != null) {
      LinkFailures.runCallback(() -> listener.onCancelled(reason));
    }
  }

  private void finish() {
    finished = true;
    writable = false;
    sendBuffer.release();
    link.remove(this);
  }

  private void runOnLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }
}
