package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.protocol.Frame;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** A control request to another node and its pending reply. */
final class ControlCall {
  private final InetSocketAddress address;
  private final Frame request;
  private final CompletableFuture<Frame> reply = new CompletableFuture<>();
  private volatile ControlLink link;
  private volatile boolean sent;

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
    sent = true;
  }

  void complete(Frame frame) {
    reply.complete(frame);
  }

  void fail(FoxtaildoorException cause) {
    reply.completeExceptionally(cause);
  }

  /** Fails the call because its deadline has passed, and closes the connection it was sent on. */
  void expire() {
    ErrorKind kind = sent ? ErrorKind.TIMEOUT : ErrorKind.NODE_UNREACHABLE;
    String description = request.getBodyCase() + " to " + address;
    if (reply.completeExceptionally(
        new FoxtaildoorException(kind, description + " got no reply before its deadline"))) {
      ControlLink usedLink = link;
      if (usedLink != null && usedLink.context() != null) {
        usedLink.context().executor().execute(() -> usedLink.abandonExchange(this));
      }
    }
  }
}
