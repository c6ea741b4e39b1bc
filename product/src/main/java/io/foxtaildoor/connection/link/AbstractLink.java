package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.Ping;
import io.foxtaildoor.protocol.Pong;
import io.foxtaildoor.protocol.ProtocolError;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** One end of a connection between nodes: handshake, heartbeats, closing; on one event loop. */
abstract class AbstractLink extends SimpleChannelInboundHandler<Frame> {
  /** Outbound bytes at which streams stop and start sending. */
  static final WriteBufferWaterMark WRITE_WATER_MARK =
      new WriteBufferWaterMark(128 << 10, 512 << 10);

  /**
   * Outbound bytes at which a link is closed. Bodies stop at the water mark, so only answers to a
   * peer that sends frames and reads nothing grow past it.
   */
  private static final long OUTBOUND_LIMIT_BYTES = 16 << 20;

  private static final System.Logger LOG = System.getLogger(AbstractLink.class.getName());

  private enum State {
    HANDSHAKE,
    OPEN,
    CLOSED
  }

  final LinkContext shared;
  private State state = State.HANDSHAKE;
  private volatile ChannelHandlerContext context;
  private Future<?> timer;
  private String closeReason = "connection closed by the other side";
  private long lastPingSequence;
  private long lastPongSequence;
  private long pingSentNanos;
  private long lastReceivedNanos;

  AbstractLink(LinkContext shared) {
    this.shared = shared;
  }

  /** Checks the first frame of the other side; gives the reason to refuse it. */
  abstract Optional<String> checkHello(Hello hello);

  /** The handshake is done. */
  abstract void onOpened(Hello hello);

  /** Takes a frame other than hello, ping, pong and error. */
  abstract void onFrame(Frame frame);

  /** The connection is closed; nothing follows. */
  abstract void onClosed(String reason);

  /** The outbound buffer has room again. */
  abstract void sendBufferedBodies();

  /** Whether pings are sent on this connection. */
  abstract boolean sendsPings();

  /** Whether something waits for the other side. */
  abstract boolean hasPendingWork();

  /** Called at each ping interval while the link is open. */
  abstract void onHeartbeat(long nowNanos);

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    ctx.channel().config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    scheduleTimer(shared.settings().connectTimeout(), this::onHandshakeTimeout);
  }

  private void scheduleTimer(Duration delay, Runnable task) {
    timer = context.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void onHandshakeTimeout() {
    if (state == State.HANDSHAKE) {
      close("no handshake in time");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (state == State.CLOSED) {
      return;
    }
    lastReceivedNanos = shared.clock().getAsLong();
    if (state == State.HANDSHAKE) {
      receiveHandshake(frame);
      return;
    }
    switch (frame.getBodyCase()) {
      case PING -> {
        if (outboundBytes() > OUTBOUND_LIMIT_BYTES) {
          close("the other side does not read");
          return;
        }
        send(
            Frame.newBuilder().setPong(Pong.newBuilder().setSequence(pingSequence(frame))).build());
      }
      case PONG -> receivePong(frame.getPong().getSequence());
      case ERROR -> onError(frame.getError());
      case HELLO, BODY_NOT_SET ->
          closeForViolation("frame " + frame.getBodyCase() + " is out of order");
      default -> onFrame(frame);
    }
  }

  /** The other side reports an error and closes. */
  void onError(ProtocolError error) {
    close("the other side reports: " + error.getDetail());
  }

  private static long pingSequence(Frame frame) {
    return frame.getPing().getSequence();
  }

  private void receiveHandshake(Frame frame) {
    if (frame.getBodyCase() == Frame.BodyCase.ERROR) {
      onError(frame.getError());
      return;
    }
    if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
      closeForViolation("first frame is " + frame.getBodyCase() + " instead of HELLO");
      return;
    }
    Optional<String> refusal = checkHello(frame.getHello());
    if (refusal.isPresent()) {
      closeForViolation(refusal.get());
      return;
    }
    state = State.OPEN;
    timer.cancel(false);
    onOpened(frame.getHello());
    if (state == State.OPEN) {
      scheduleTimer(shared.settings().pingInterval(), this::runHeartbeat);
    }
  }

  private void runHeartbeat() {
    if (state != State.OPEN) {
      return;
    }
    long now = shared.clock().getAsLong();
    scheduleTimer(shared.settings().pingInterval(), this::runHeartbeat);
    if (sendsPings()) {
      checkLiveness(now);
    }
    onHeartbeat(now);
  }

  /** Pings a silent peer, one ping at a time, and gives up one that does not answer. */
  private void checkLiveness(long now) {
    LinkSettings settings = shared.settings();
    if (isPingUnanswered()) {
      if (now - pingSentNanos >= settings.pingTimeout().toNanos()) {
        shared.metrics().countSilentLink();
        reset("ping unanswered for " + settings.pingTimeout());
      }
      return;
    }
    Duration silence = hasPendingWork() ? settings.pingInterval() : settings.idlePingInterval();
    if (now - lastReceivedNanos >= silence.toNanos()) {
      pingSentNanos = now;
      lastPingSequence++;
      send(Frame.newBuilder().setPing(Ping.newBuilder().setSequence(lastPingSequence)).build());
    }
  }

  private void receivePong(long sequence) {
    if (sequence > lastPingSequence) {
      closeForViolation("pong for a ping that was not sent");
      return;
    }
    lastPongSequence = Math.max(lastPongSequence, sequence);
  }

  /** Whether a ping waits for its answer. */
  private boolean isPingUnanswered() {
    return lastPongSequence < lastPingSequence;
  }

  /** Whether a ping has been unanswered for half of its limit, so that new streams go elsewhere. */
  final boolean isSuspect(long nowNanos) {
    return isPingUnanswered()
        && nowNanos - pingSentNanos > shared.settings().pingTimeout().toNanos() / 2;
  }

  /** Writes a frame; a failure of the write closes the connection. */
  final void send(Frame frame) {
    write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Writes a frame together with the next one that is sent. */
  final void queue(Frame frame) {
    context.write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Writes what was queued. */
  final void flush() {
    context.flush();
  }

  /** Writes a frame and gives the outcome of the write to the socket. */
  final ChannelFuture write(Frame frame) {
    return context.writeAndFlush(frame);
  }

  final boolean isOpen() {
    return state == State.OPEN;
  }

  final boolean isClosed() {
    return state == State.CLOSED;
  }

  final boolean isWritable() {
    return state == State.OPEN && context.channel().isWritable();
  }

  final ChannelHandlerContext context() {
    return context;
  }

  private long outboundBytes() {
    return context.channel().bytesBeforeWritable();
  }

  /** Tells the other side that it broke the protocol, and closes. */
  final void closeForViolation(String detail) {
    if (state == State.CLOSED) {
      return;
    }
    shared.metrics().countViolation();
    LOG.log(Level.WARNING, "closing link to {0}: {1}", context.channel().remoteAddress(), detail);
    ProtocolError error =
        ProtocolError.newBuilder()
            .setKind(ErrorKind.PROTOCOL_VIOLATION.name())
            .setDetail(detail)
            .build();
    write(Frame.newBuilder().setError(error).build()).addListener(ChannelFutureListener.CLOSE);
    markClosed("protocol violation: " + detail);
  }

  /**
   * Closes the connection without delivering what was written. Bytes that a broken path holds back
   * would reach the other side once it is whole again, with requests that callers gave up long ago.
   */
  private void reset(String reason) {
    LOG.log(Level.WARNING, "resetting link to {0}: {1}", context.channel().remoteAddress(), reason);
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    close(reason);
  }

  /** Closes the connection. */
  final void close(String reason) {
    closeReason = reason;
    var unused = context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    markClosed(closeReason);
  }

  private void markClosed(String reason) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    timer.cancel(false);
    onClosed(reason);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (isWritable()) {
      sendBufferedBodies();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      closeForViolation("malformed frame: " + cause.getMessage());
    } else {
      LOG.log(Level.DEBUG, "link failed", cause);
      close("connection failed: " + cause.getMessage());
    }
  }

  /** What all links of a node share. */
  record LinkContext(
      LinkSettings settings, LinkIdentity identity, LinkMetrics metrics, LongSupplier clock) {}
}
