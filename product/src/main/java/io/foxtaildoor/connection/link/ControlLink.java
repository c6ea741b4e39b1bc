package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.ProtocolError;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The client end of a control connection. Carries one request and reply at a time and is confined
 * to one event loop.
 */
final class ControlLink extends AbstractLink {
  private final InetSocketAddress address;
  private final NettyControlCaller owner;
  private ControlCall currentCall;

  ControlLink(
      LinkContext shared,
      InetSocketAddress address,
      NettyControlCaller owner,
      ControlCall firstCall) {
    super(shared);
    this.address = address;
    this.owner = owner;
    this.currentCall = firstCall;
  }

  InetSocketAddress address() {
    return address;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    Hello hello = shared.identity().hello(LinkPurpose.CONTROL, "");
    send(Frame.newBuilder().setHello(hello).build());
  }

  @Override
  Optional<String> checkHello(Hello hello) {
    return Handshake.checkAcceptor(shared.identity(), hello, "");
  }

  @Override
  void onOpened(Hello hello) {
    startExchange(currentCall);
  }

  /** Sends a request on an open connection that has no call in progress. */
  void startExchange(ControlCall call) {
    currentCall = call;
    if (isClosed()) {
      owner.submit(call);
      return;
    }
    if (call.isDone()) {
      close("control call ended before it was sent");
      return;
    }
    call.markSent();
    send(call.request());
  }

  /**
   * Closes the connection if it still carries the call. A late reply would otherwise be taken for
   * the reply of the next call.
   */
  void abandonExchange(ControlCall call) {
    if (currentCall == call && context() != null) {
      close("control call timed out");
    }
  }

  @Override
  void onFrame(Frame reply) {
    if (currentCall == null) {
      closeForViolation("control reply without a request");
      return;
    }
    ControlCall completed = currentCall;
    currentCall = null;
    owner.onExchangeFinished(this);
    completed.complete(reply);
  }

  @Override
  void onError(ProtocolError error) {
    if (currentCall != null) {
      ErrorKind kind =
          Stream.of(ErrorKind.values())
              .filter(known -> known.name().equals(error.getKind()))
              .findAny()
              .orElse(ErrorKind.PROTOCOL_VIOLATION);
      currentCall.fail(
          new FoxtaildoorException(kind, address + " reported an error: " + error.getDetail()));
    }
    close("the other side reported an error");
  }

  void connectFailed(Throwable cause) {
    onEnded("cannot connect to " + address + ": " + cause);
  }

  @Override
  void onClosed(String reason) {
    onEnded("connection to " + address + " closed: " + reason);
  }

  private void onEnded(String reason) {
    owner.onConnectionClosed(this);
    if (currentCall != null) {
      currentCall.fail(new FoxtaildoorException(ErrorKind.NODE_UNREACHABLE, reason));
    }
  }

  @Override
  void sendBufferedBodies() {}

  @Override
  boolean sendsPings() {
    return false;
  }

  @Override
  boolean hasPendingWork() {
    return false;
  }

  @Override
  void onHeartbeat(long nowNanos) {
    if (currentCall == null && owner.retireIdle(this)) {
      close("idle");
    }
  }
}
