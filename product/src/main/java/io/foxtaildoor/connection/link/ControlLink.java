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

/** The opener's end of a control connection: one exchange at a time, on one event loop. */
final class ControlLink extends AbstractLink {
  private final InetSocketAddress address;
  private final NettyControlCaller owner;
  private ControlCall currentCall;

  ControlLink(
      LinkContext shared, InetSocketAddress address, NettyControlCaller owner, ControlCall first) {
    super(shared);
    this.address = address;
    this.owner = owner;
    this.currentCall = first;
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

  /** Starts an exchange on an open connection that has none. */
  void startExchange(ControlCall call) {
    currentCall = call;
    if (isClosed()) {
      owner.submit(call);
      return;
    }
    if (call.isDone()) {
      close("call is over");
      return;
    }
    call.markSent();
    send(call.request());
  }

  /** Gives up an exchange; the connection cannot be used again. */
  void abandonExchange(ControlCall call) {
    if (currentCall == call && context() != null) {
      close("exchange not finished in time");
    }
  }

  @Override
  void onFrame(Frame reply) {
    if (currentCall == null) {
      closeForViolation("control reply without a request");
      return;
    }
    ControlCall answered = currentCall;
    currentCall = null;
    owner.onExchangeFinished(this);
    answered.complete(reply);
  }

  @Override
  void onError(ProtocolError error) {
    if (currentCall != null) {
      ErrorKind kind =
          Stream.of(ErrorKind.values())
              .filter(known -> known.name().equals(error.getKind()))
              .findAny()
              .orElse(ErrorKind.PROTOCOL_VIOLATION);
      currentCall.fail(new FoxtaildoorException(kind, address + " reports: " + error.getDetail()));
    }
    close("the other side reports an error");
  }

  void connectFailed(Throwable cause) {
    onEnded("cannot connect to " + address + ": " + cause);
  }

  @Override
  void onClosed(String reason) {
    onEnded("connection to " + address + " ended: " + reason);
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
