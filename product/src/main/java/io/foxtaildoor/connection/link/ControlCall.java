package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.protocol.Frame;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** One control exchange. */
final class ControlCall {
  private final InetSocketAddress address;
  private final Frame request;
  private final CompletableFuture<Frame> reply = new CompletableFuture<>();
  private volatile ControlLink link;
  private volatile boolean markSent;

  ControlCall(InetSocketAddress address, Frame request) {
    this.address = address;
    this.request = request;
  }

  InetSocketAddress address() {
    return address;
  }

  Frame request() {
    return request;
  }

  CompletableFuture<Frame> reply() {
    return reply;
  }

  boolean isDone() {
    return reply.isDone();
  }

  void assignTo(ControlLink newLink) {
    link = newLink;
  }

  void markSent() {
    markSent = true;
  }

  void complete(Frame frame) {
    reply.complete(frame);
  }

  void fail(FoxtaildoorException cause) {
    reply.completeExceptionally(cause);
  }

  /** The deadline passed. */
  void expire() {
    ErrorKind kind = markSent ? ErrorKind.TIMEOUT : ErrorKind.NODE_UNREACHABLE;
    String what = request.getBodyCase() + " to " + address;
    if (reply.completeExceptionally(
        new FoxtaildoorException(kind, what + " was not answered in time"))) {
      ControlLink used = link;
      if (used != null && used.context() != null) {
        used.context().executor().execute(() -> used.abandonExchange(this));
      }
    }
  }
}
