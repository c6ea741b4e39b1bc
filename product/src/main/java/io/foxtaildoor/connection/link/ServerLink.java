package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.GoAway;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.ProtocolError;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The server end of an accepted connection. Carries request streams or control frames; the purpose
 * in the hello of the other node decides which.
 */
final class ServerLink extends AbstractLink {
  private static final System.Logger LOG = System.getLogger(ServerLink.class.getName());

  private final StreamAcceptor acceptor;
  private final Map<Frame.BodyCase, ControlHandler> controlHandlers;
  private final Owner owner;
  private final Long2ObjectHashMap<ServerStream> streams = new Long2ObjectHashMap<>();
  private LinkPurpose purpose = LinkPurpose.UNRECOGNIZED;
  private long lastStreamId;
  private long lastFrameNanos;
  private boolean leaving;

  /** Is notified of events of accepted links. */
  interface Owner {
    /** Called when the handshake has completed; returns true when the local node is leaving. */
    boolean linkOpened(ServerLink link);

    /** Called when a stream was accepted. */
    void streamOpened();

    /** Called when an accepted stream ended. */
    void streamClosed();

    /** Called when the link is closed. */
    void linkClosed(ServerLink link);
  }

  ServerLink(
      LinkContext shared,
      StreamAcceptor acceptor,
      Map<Frame.BodyCase, ControlHandler> controlHandlers,
      Owner owner) {
    super(shared);
    this.acceptor = acceptor;
    this.controlHandlers = controlHandlers;
    this.owner = owner;
  }

  @Override
  Optional<String> checkHello(Hello hello) {
    if (hello.getPurpose() == LinkPurpose.UNRECOGNIZED) {
      return Optional.of("unknown purpose in hello frame");
    }
    return Handshake.checkOpener(shared.identity(), hello);
  }

  @Override
  void onOpened(Hello hello) {
    purpose = hello.getPurpose();
    lastFrameNanos = shared.clock().getAsLong();
    reply(Frame.newBuilder().setHello(shared.identity().hello(purpose, hello.getNodeId())).build());
    if (owner.linkOpened(this)) {
      sendGoAway();
    }
  }

  /** Tells the other node that new streams are refused. */
  void sendGoAway() {
    if (isOpen() && !leaving && purpose == LinkPurpose.REQUESTS) {
      leaving = true;
      reply(Frame.newBuilder().setGoAway(GoAway.newBuilder().setReason("leaving")).build());
    }
  }

  void reply(Frame frame) {
    send(frame);
  }

  @Override
  void onFrame(Frame frame) {
    lastFrameNanos = shared.clock().getAsLong();
    if (purpose == LinkPurpose.CONTROL) {
      handleControlFrame(frame);
      return;
    }
    String violation =
        switch (frame.getBodyCase()) {
          case REQUEST_START -> receiveRequestStart(frame.getRequestStart());
          case REQUEST_BODY -> {
            ServerStream stream = streams.get(frame.getRequestBody().getStream());
            yield stream == null
                ? dropFrameOfFinishedStream(frame.getRequestBody().getStream())
                : stream.receiveBody(frame.getRequestBody());
          }
          case WINDOW_UPDATE -> {
            ServerStream stream = streams.get(frame.getWindowUpdate().getStream());
            yield stream == null
                ? dropFrameOfFinishedStream(frame.getWindowUpdate().getStream())
                : stream.receiveWindowUpdate(frame.getWindowUpdate().getBytes());
          }
          case CANCEL -> receiveCancel(frame);
          default -> "frame " + frame.getBodyCase() + " on a request link";
        };
    if (violation != null) {
      closeForViolation(violation);
    }
  }

  /**
   * Drops a frame of a finished stream. Returns the violation when the stream id was never used,
   * null otherwise.
   */
  private String dropFrameOfFinishedStream(long id) {
    if (id <= 0 || id > lastStreamId) {
      return "frame for stream " + id + " that was never opened";
    }
    shared.metrics().countDroppedFrame();
    return null;
  }

  private String receiveCancel(Frame frame) {
    ServerStream stream = streams.get(frame.getCancel().getStream());
    if (stream == null) {
      return dropFrameOfFinishedStream(frame.getCancel().getStream());
    }
    stream.cancel(frame.getCancel().getReason());
    return null;
  }

  private String receiveRequestStart(RequestStart head) {
    long id = head.getStream();
    if (id <= lastStreamId) {
      return "stream id " + id + " is not greater than the last stream id";
    }
    lastStreamId = id;
    if (leaving) {
      refuseStream(id, ErrorKind.LEAVING, "node is leaving");
      return null;
    }
    if (streams.size() >= shared.settings().maxStreamsPerLink()) {
      refuseStream(id, ErrorKind.OVERLOADED, "too many streams on the link");
      return null;
    }
    ServerStream stream = new ServerStream(this, (EventLoop) context().executor(), head);
    streams.put(id, stream);
    owner.streamOpened();
    try {
      stream.setListener(acceptor.accept(head, stream));
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "stream acceptor threw an exception", e);
      stream.fail(LinkFailures.of(ErrorKind.INTERNAL, false, "stream acceptor threw an exception"));
    }
    return null;
  }

  private void refuseStream(long id, ErrorKind kind, String detail) {
    StreamFailure failure = LinkFailures.of(kind, true, detail).toBuilder().setStream(id).build();
    reply(Frame.newBuilder().setFailure(failure).build());
  }

  /** Handles a control frame; replies are sent in the order of the requests. */
  private void handleControlFrame(Frame request) {
    ControlHandler handler = controlHandlers.get(request.getBodyCase());
    if (handler == null) {
      closeForViolation("frame " + request.getBodyCase() + " on a control link");
      return;
    }
    try {
      reply(handler.handle(request));
    } catch (FoxtaildoorException e) {
      reply(errorFrame(e.kind(), e.getMessage()));
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "control handler threw an exception", e);
      reply(errorFrame(ErrorKind.INTERNAL, "control handler threw an exception"));
    }
  }

  private static Frame errorFrame(ErrorKind kind, String detail) {
    return Frame.newBuilder()
        .setError(ProtocolError.newBuilder().setKind(kind.name()).setDetail(detail))
        .build();
  }

  /** Removes a finished stream. */
  void remove(ServerStream stream) {
    if (streams.remove(stream.id()) != null) {
      owner.streamClosed();
    }
  }

  @Override
  void onClosed(String reason) {
    for (ServerStream stream : List.copyOf(streams.values())) {
      stream.cancel(reason);
    }
    owner.linkClosed(this);
  }

  @Override
  void sendBufferedBodies() {
    for (ServerStream stream : List.copyOf(streams.values())) {
      stream.sendBuffered();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    // Stops reading from a control peer that does not read its replies, which bounds the replies
    // held in the outbound buffer.
    ctx.channel().config().setAutoRead(purpose != LinkPurpose.CONTROL || isWritable() || !isOpen());
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(true);
    super.channelWritabilityChanged(ctx);
  }

  @Override
  boolean sendsPings() {
    return purpose == LinkPurpose.REQUESTS;
  }

  @Override
  boolean hasPendingWork() {
    return false;
  }

  @Override
  void onHeartbeat(long nowNanos) {
    boolean idle = nowNanos - lastFrameNanos >= shared.settings().idleTimeout().toNanos();
    if (idle && purpose == LinkPurpose.CONTROL) {
      close("idle");
    }
  }
}
